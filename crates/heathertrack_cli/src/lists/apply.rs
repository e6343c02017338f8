//! The `lists apply` command: writes an edit and waits until it is in force.

use super::{Document, diff, list_key, print_findings, read_list, with_base_revision};
use crate::check;
use crate::command::Apply;
use crate::exit::Exit;
use crate::operators::{Fleet, HostRevision};
use heathertrack_platform::{CallError, Etcd, Store, Swap, SwapResult, Value as Stored};
use miette::{Report, miette};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Maximum number of attempts to write an edit. Any failed call to the store is repeated, because
/// the identifier of the edit shows whether an earlier attempt was accepted.
const MAX_ATTEMPTS: u32 = 10;
/// Time between attempts to write, and between polls of the hosts.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Result of writing an edit.
enum WriteResult {
    /// The store accepted the edit at this revision.
    Accepted(u64),
    /// The list was changed by another edit. Holds the list that is now in the store, if any.
    Conflict(Option<Stored>),
}

pub async fn run(store: &Etcd, prefix: &str, apply: &Apply, json: bool) -> Result<Exit, Report> {
    let (name, text) = check::read_file(&apply.file)?;
    let document = match Document::read(&name, &text) {
        Ok(document) => document,
        Err(findings) => return Ok(print_findings(findings)),
    };
    let Some(base) = document.base_revision() else {
        let list = document.list_name();
        return Err(miette!(
            "{name} has no base revision; start from the output of `lists show {list}`"
        ));
    };
    match write(store, prefix, &document, base).await? {
        WriteResult::Conflict(stored) => Ok(print_conflict(&document, stored.as_ref(), json)),
        WriteResult::Accepted(revision) => {
            Ok(wait_until_in_force(&document, revision, apply, json).await)
        }
    }
}

/// Writes the edit with a unique identifier. If the store's answer is lost, the identifier in the
/// stored list shows whether the edit was accepted.
async fn write(
    store: &Etcd,
    prefix: &str,
    document: &Document,
    base: u64,
) -> Result<WriteResult, Report> {
    let edit_id = Uuid::now_v7().to_string();
    let mut value = document.value.clone();
    value["edit"] = json!(edit_id);
    if let Some(fields) = value.as_object_mut() {
        // The stored list has no such field; `with_base_revision` adds it to what is shown.
        fields.remove("revision");
    }
    let key = list_key(prefix, document.list_name());
    let swap = Swap { key, expected: base, value: value.to_string().into_bytes() };
    let mut last_error = None;
    for _ in 0..MAX_ATTEMPTS {
        match store.swap(vec![swap.clone()]).await {
            Ok(swapped) => match swapped.into_iter().next() {
                Some(SwapResult::Applied(revision)) => return Ok(WriteResult::Accepted(revision)),
                Some(SwapResult::Conflict(current)) => {
                    return Ok(resolve_conflict(current, &edit_id));
                }
                None => return Err(miette!("the store answered without a result for the edit")),
            },
            Err(error) => last_error = Some(error),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    let current = read_list(store, prefix, document.list_name()).await;
    match current {
        Ok(Some(stored)) if has_edit_id(&stored, &edit_id) => {
            Ok(WriteResult::Accepted(stored.revision))
        }
        Ok(_) => Err(write_error(
            document,
            &last_error,
            "the list in the store does not have the edit: either it was not accepted, or another \
             edit has replaced it",
        )),
        Err(_) => Err(write_error(
            document,
            &last_error,
            "the list cannot be read either, so the edit may have been accepted; run `lists show` \
             later",
        )),
    }
}

/// Returns the error after [`MAX_ATTEMPTS`] failed attempts to write a list.
fn write_error(document: &Document, error: &Option<CallError>, conclusion: &str) -> Report {
    let reason = error.as_ref().map(ToString::to_string).unwrap_or_default();
    let list = document.list_name();
    miette!("cannot write the list {list} in {MAX_ATTEMPTS} attempts: {reason}; {conclusion}")
}

/// Interprets a conflict. If the stored list holds this edit, an earlier attempt was accepted and
/// only its answer was lost.
fn resolve_conflict(current: Option<Stored>, edit_id: &str) -> WriteResult {
    match current {
        Some(stored) if has_edit_id(&stored, edit_id) => WriteResult::Accepted(stored.revision),
        current => WriteResult::Conflict(current),
    }
}

/// Returns whether a stored list is the result of the edit with this identifier.
fn has_edit_id(stored: &Stored, edit_id: &str) -> bool {
    let value: Value = serde_json::from_slice(&stored.data).unwrap_or_default();
    value["edit"].as_str() == Some(edit_id)
}

/// Prints what the edit would change in the list that is now in the store.
fn print_conflict(document: &Document, stored: Option<&Stored>, json: bool) -> Exit {
    let current = with_base_revision(stored, document.list_name());
    let changes = diff::compare(&current, &document.value);
    if json {
        let changes = diff::as_json(&changes);
        println!("{}", json!({"conflict": true, "current": current, "changes": changes}));
    } else {
        let revision = &current["revision"];
        println!("not written: {} is at revision {revision} now.", document.list_name());
        println!("- there now, + in your file:");
        diff::print(&changes, false);
    }
    Exit::Conflict
}

/// Polls the hosts until the edit is in force on all of them, or the wait time is over.
async fn wait_until_in_force(
    document: &Document,
    revision: u64,
    apply: &Apply,
    json: bool,
) -> Exit {
    let list = document.list_name();
    if !json {
        println!("{list} accepted at revision {revision}");
    }
    let deadline = Instant::now() + Duration::from_secs(apply.wait);
    let mut last_printed = Vec::new();
    let mut fleet = Fleet::new(apply.operators.iter().copied());
    loop {
        let hosts = fleet.revisions(list).await;
        // The revision `None` of a host that does not answer is less than any other.
        let missing: Vec<String> =
            hosts.iter().filter(|h| h.revision < Some(revision)).map(HostRevision::label).collect();
        if !json && missing != last_printed && !missing.is_empty() {
            println!("not yet in force at {}", missing.join(", "));
            last_printed.clone_from(&missing);
        }
        if missing.is_empty() || Instant::now() >= deadline {
            return print_result(list, revision, hosts.len(), &missing, json);
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Prints the final result and returns the exit status. `asked` is the number of hosts that were
/// asked, and `missing` are those on which the edit is not in force or that did not answer. Without
/// `--json`, nothing is printed for these here: the poll has already listed them. If no host was
/// asked, the edit is not known to be in force anywhere, so the status is [`Exit::NotInForce`].
fn print_result(list: &str, revision: u64, asked: usize, missing: &[String], json: bool) -> Exit {
    if json {
        let summary =
            json!({"list": list, "revision": revision, "asked": asked, "missing": missing});
        println!("{summary}");
    } else if asked == 0 {
        println!("no host was asked whether it is in force: --operators ADDRESS");
    } else if missing.is_empty() {
        println!("in force everywhere: {asked} of {asked} hosts");
    }
    if missing.is_empty() && asked > 0 { Exit::Done } else { Exit::NotInForce }
}
