//! Differences between two lists, by entry.

use serde_json::{Map, Value, json};

/// An entry that differs between two lists.
#[derive(Debug, PartialEq, Eq)]
pub struct Change {
    name: String,
    before: Option<Value>,
    after: Option<Value>,
}

/// Returns the entries that differ, sorted by name.
pub fn compare(before: &Value, after: &Value) -> Vec<Change> {
    let (before, after) = (entries(before), entries(after));
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    let change = |name: &String| Change {
        name: name.clone(),
        before: before.get(name).cloned(),
        after: after.get(name).cloned(),
    };
    names.into_iter().map(change).filter(|change| change.before != change.after).collect()
}

/// Returns the entries of a list by name: those under `customers` in the list of plans, or those
/// under `plans` in the list of allowances.
fn entries(list: &Value) -> Map<String, Value> {
    let entries = list.get("customers").or_else(|| list.get("plans"));
    entries.and_then(Value::as_object).cloned().unwrap_or_default()
}

pub fn print(changes: &[Change], json: bool) {
    if json {
        println!("{}", as_json(changes));
        return;
    }
    if changes.is_empty() {
        println!("no difference");
    }
    for Change { name, before, after } in changes {
        before.iter().for_each(|value| println!("- {name}: {value}"));
        after.iter().for_each(|value| println!("+ {name}: {value}"));
    }
}

/// Returns the changes as a JSON array. `before` or `after` is null if the entry is only in the other
/// list.
pub fn as_json(changes: &[Change]) -> Value {
    let entry = |change: &Change| json!({"name": change.name, "before": change.before, "after": change.after});
    Value::Array(changes.iter().map(entry).collect())
}
