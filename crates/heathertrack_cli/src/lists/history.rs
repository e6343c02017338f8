//! The `lists history` command: shows the last edits of a list.

use super::diff::{self, Change};
use super::{list_key, read_list, with_base_revision};
use crate::command::History;
use crate::exit::Exit;
use heathertrack_platform::{CallError, Etcd, Store, Value as Stored};
use miette::Report;
use serde_json::{Value, json};
use uuid::Uuid;

/// An edit of a list.
#[derive(Debug)]
struct Edit {
    revision: u64,
    /// Time of the edit, in Unix milliseconds. It is part of the edit's identifier, a UUIDv7;
    /// `None` if the stored list has no identifier.
    written_ms: Option<u64>,
    changes: Vec<Change>,
}

pub async fn run(
    store: &Etcd,
    prefix: &str,
    command: &History,
    json: bool,
) -> Result<Exit, Report> {
    let key = list_key(prefix, &command.list);
    let mut next = read_list(store, prefix, &command.list).await?;
    let mut edits = Vec::new();
    while let Some(stored) = next.take()
        && edits.len() < command.last
    {
        let before = match read_previous(store, &key, &stored).await {
            Ok(before) => before,
            Err(error) => {
                let (list, revision) = (&command.list, stored.revision);
                eprintln!("cannot read the list {list} before revision {revision}: {error}");
                break;
            }
        };
        edits.push(describe_edit(&stored, before.as_ref(), &command.list));
        next = before;
    }
    if json {
        println!("{}", Value::Array(edits.iter().map(as_json).collect()));
    } else {
        edits.iter().for_each(print);
    }
    Ok(Exit::Done)
}

/// Reads the list that an edit replaced, or `None` if the edit created the list.
async fn read_previous(
    store: &Etcd,
    key: &str,
    stored: &Stored,
) -> Result<Option<Stored>, CallError> {
    match stored.revision.checked_sub(1) {
        None | Some(0) => Ok(None),
        Some(revision) => store.get_at(key, revision).await,
    }
}

/// Returns the edit that replaced `before` by `stored`.
fn describe_edit(stored: &Stored, before: Option<&Stored>, list: &str) -> Edit {
    let value: Value = serde_json::from_slice(&stored.data).unwrap_or_default();
    let id = value["edit"].as_str().and_then(|text| Uuid::try_parse(text).ok());
    let written = id.and_then(|id| id.get_timestamp());
    Edit {
        revision: stored.revision,
        written_ms: written.map(|at| {
            let (seconds, nanos) = at.to_unix();
            seconds * 1_000 + u64::from(nanos) / 1_000_000
        }),
        changes: diff::compare(
            &with_base_revision(before, list),
            &with_base_revision(Some(stored), list),
        ),
    }
}

fn as_json(edit: &Edit) -> Value {
    json!({
        "revision": edit.revision,
        "written_ms": edit.written_ms,
        "changes": diff::as_json(&edit.changes),
    })
}

fn print(edit: &Edit) {
    match edit.written_ms {
        Some(ms) => println!("revision {}, written at {ms} ms since 1970", edit.revision),
        None => println!("revision {}", edit.revision),
    }
    diff::print(&edit.changes, false);
}
