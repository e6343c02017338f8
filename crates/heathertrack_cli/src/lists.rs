//! The `lists` command: shows and edits the two lists in the platform's store.

mod apply;
mod diff;
mod document;
mod history;

pub use document::Document;

use crate::check;
use crate::command::{Lists, ListsCommand};
use crate::exit::Exit;
use heathertrack_platform::{Etcd, Store, Value as Stored};
use miette::{IntoDiagnostic, Report, WrapErr, miette};
use serde_json::{Value, json};

pub async fn run(command: Lists, json: bool) -> Result<Exit, Report> {
    if command.store.is_empty() {
        return Err(miette!("the store's address is missing: --store ADDRESS"));
    }
    let store = Etcd::new(command.store.clone());
    match &command.what {
        ListsCommand::Show(show) => {
            let stored = read_list(&store, &command.prefix, &show.list).await?;
            println!("{}", to_pretty_json(&with_base_revision(stored.as_ref(), &show.list)));
            Ok(Exit::Done)
        }
        ListsCommand::Diff(diff) => {
            let (name, text) = check::read_file(&diff.file)?;
            let document = match Document::read(&name, &text) {
                Ok(document) => document,
                Err(findings) => return Ok(print_findings(findings)),
            };
            let stored = read_list(&store, &command.prefix, document.list_name()).await?;
            let current = with_base_revision(stored.as_ref(), document.list_name());
            diff::print(&diff::compare(&current, &document.value), json);
            Ok(Exit::Done)
        }
        ListsCommand::History(history) => {
            history::run(&store, &command.prefix, history, json).await
        }
        ListsCommand::Apply(apply) => apply::run(&store, &command.prefix, apply, json).await,
    }
}

/// Prints the findings of a list that cannot be used.
fn print_findings(findings: heathertrack_document::Findings) -> Exit {
    eprintln!("{:?}", Report::new(findings));
    Exit::Findings
}

/// Returns the key of a list in the store.
fn list_key(prefix: &str, list: &str) -> String {
    format!("{prefix}/lists/{list}")
}

/// Reads a list from the store. Returns `None` if the store has none of this name.
async fn read_list(store: &Etcd, prefix: &str, list: &str) -> Result<Option<Stored>, Report> {
    if list != "plans" && list != "allowances" {
        return Err(miette!("there is no list \"{list}\": it must be plans or allowances"));
    }
    let stored = store.get(&list_key(prefix, list)).await;
    stored.into_diagnostic().wrap_err_with(|| format!("cannot read the list {list} from the store"))
}

/// Returns a stored list as JSON, with its revision as the base of an edit. If there is no stored
/// list, returns an empty one at revision 0.
fn with_base_revision(stored: Option<&Stored>, list: &str) -> Value {
    let entries_field = if list == "plans" { "customers" } else { "plans" };
    let Some(stored) = stored else { return json!({ "revision": 0, entries_field: {} }) };
    let mut value: Value = serde_json::from_slice(&stored.data).unwrap_or_default();
    value["revision"] = json!(stored.revision);
    value
}

fn to_pretty_json(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
