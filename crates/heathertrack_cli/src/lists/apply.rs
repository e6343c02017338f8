//! The `lists apply` command: writes an edit and waits until it is in force.

use super::{Document, diff, key, read, refuse, with_revision};
use crate::check;
use crate::command::Apply;
use crate::exit::Exit;
use crate::operators::{Fleet, Revision};
use heathertrack_platform::{Etcd, Fault, Store, Swap, Swapped, Value as Stored};
use miette::{Report, miette};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Maximum number of attempts to write an edit when the store's answer is lost.
const TRIES: u32 = 10;
/// Pause between attempts to write, and between polls of the hosts.
const PAUSE: Duration = Duration::from_millis(200);

/// Result of writing an edit.
enum Written {
    /// The store accepted the edit at this revision.
    Accepted(u64),
    /// The list was changed by another edit. Holds the list that is now in the store, if any.
    Conflict(Option<Stored>),
}

/// Runs the command.
pub async fn run(store: &Etcd, prefix: &str, apply: &Apply, json: bool) -> Result<Exit, Report> {
    let (name, text) = check::read(&apply.file)?;
    let document = match Document::read(&name, &text) {
        Ok(document) => document,
        Err(findings) => return Ok(refuse(findings)),
    };
    let Some(base) = document.revision() else {
        let list = document.list();
        return Err(miette!(
            "{name} has no base revision; start from the output of `lists show {list}`"
        ));
    };
    match write(store, prefix, &document, base).await? {
        Written::Conflict(theirs) => Ok(show_conflict(&document, theirs.as_ref(), json)),
        Written::Accepted(revision) => Ok(wait(&document, revision, apply, json).await),
    }
}

/// Writes the edit with a unique identifier. If the store's answer is lost, the identifier in the
/// stored list shows whether the edit was accepted.
async fn write(
    store: &Etcd,
    prefix: &str,
    document: &Document,
    base: u64,
) -> Result<Written, Report> {
    let edit = Uuid::now_v7().to_string();
    let mut value = document.value.clone();
    value["edit"] = json!(edit);
    if let Some(fields) = value.as_object_mut() {
        fields.remove("revision");
    }
    let key = key(prefix, document.list());
    let swap = Swap { key, expected: base, value: value.to_string().into_bytes() };
    let mut last = None;
    for _ in 0..TRIES {
        match store.swap(vec![swap.clone()]).await {
            Ok(swapped) => match swapped.into_iter().next() {
                Some(Swapped::Done(revision)) => return Ok(Written::Accepted(revision)),
                Some(Swapped::Conflict(current)) => return Ok(settle(current, &edit)),
                None => return Err(miette!("the store returned no result for the edit")),
            },
            Err(fault) => last = Some(fault),
        }
        tokio::time::sleep(PAUSE).await;
    }
    let current = read(store, prefix, document.list()).await;
    match current {
        Ok(Some(stored)) if is_edit(&stored, &edit) => Ok(Written::Accepted(stored.revision)),
        Ok(_) => Err(lost(&last, "the edit is not in the store now")),
        Err(_) => Err(lost(&last, "the edit may have been accepted; run `lists show` later")),
    }
}

fn lost(fault: &Option<Fault>, conclusion: &str) -> Report {
    let reason = fault.as_ref().map(ToString::to_string).unwrap_or_default();
    miette!("{reason}; {conclusion}")
}

/// Interprets a conflict. If the stored list holds this edit, an earlier attempt was accepted and
/// only its answer was lost.
fn settle(current: Option<Stored>, edit: &str) -> Written {
    match current {
        Some(stored) if is_edit(&stored, edit) => Written::Accepted(stored.revision),
        current => Written::Conflict(current),
    }
}

fn is_edit(stored: &Stored, edit: &str) -> bool {
    let value: Value = serde_json::from_slice(&stored.data).unwrap_or_default();
    value["edit"].as_str() == Some(edit)
}

fn show_conflict(document: &Document, theirs: Option<&Stored>, json: bool) -> Exit {
    let current = with_revision(theirs, document.list());
    let changes = diff::between(&current, &document.value);
    if json {
        let changes = diff::as_json(&changes);
        println!("{}", json!({"conflict": true, "current": current, "changes": changes}));
    } else {
        let revision = &current["revision"];
        println!("not written: {} is at revision {revision} now.", document.list());
        println!("- there now, + in your file:");
        diff::print(&changes, false);
    }
    Exit::Conflict
}

/// Polls the hosts until the edit is in force on all of them, or the wait time is over.
async fn wait(document: &Document, revision: u64, apply: &Apply, json: bool) -> Exit {
    let list = document.list();
    if !json {
        println!("{list} accepted at revision {revision}");
    }
    let end = Instant::now() + Duration::from_secs(apply.wait);
    let mut shown = Vec::new();
    let mut fleet = Fleet::new(apply.operators.iter().copied());
    loop {
        let hosts = fleet.revisions(list).await;
        let missing: Vec<String> =
            hosts.iter().filter(|h| h.revision < Some(revision)).map(Revision::label).collect();
        if !json && missing != shown && !missing.is_empty() {
            println!("not yet in force at {}", missing.join(", "));
            shown.clone_from(&missing);
        }
        if missing.is_empty() || Instant::now() >= end {
            return conclude(list, revision, hosts.len(), &missing, json);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn conclude(list: &str, revision: u64, asked: usize, missing: &[String], json: bool) -> Exit {
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
