//! JSON format of the two lists that operators edit. The plans give each customer a plan, tokens
//! and a worth; the allowances limit the tasks and jobs of each plan.

mod allowances;
mod plans;

use heathertrack::name::Label;
use heathertrack_document::{Fields, Findings, Node};

/// One of the two lists, with its JSON encoding.
pub trait List: Sized {
    /// Name of the list, used in its key in the store.
    const NAME: &'static str;

    /// Parses the list. On failure returns all findings, which call the document `name`.
    fn parse(name: &str, text: &str) -> Result<Self, Findings>;

    /// Returns the list as JSON.
    fn to_json(&self) -> serde_json::Value;
}

/// Checks the optional fields that an edit adds to a list: `revision`, on which the edit is based,
/// and `edit`, its identifier. If the store's response to an edit is lost, the author looks for the
/// identifier in the store to find out whether the edit was accepted.
fn check_edit_fields(fields: &mut Fields, findings: &mut Findings) {
    if let Some(node) = fields.optional("revision") {
        node.integer(0..=u64::MAX, findings);
    }
    if let Some(node) = fields.optional("edit") {
        node.string(findings);
    }
}

/// Checks that a text is a valid name, and adds a finding if not.
fn read_label<'a>(text: &'a str, node: &Node, findings: &mut Findings) -> Option<&'a str> {
    match Label::parse(text) {
        Ok(_) => Some(text),
        Err(error) => {
            node.reject(format!("has the name \"{text}\", which {error}"), findings);
            None
        }
    }
}
