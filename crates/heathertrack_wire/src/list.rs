//! JSON format of the two lists that operators edit: plans and allowances.

mod allowances;
mod plans;

use heathertrack::name::Label;
use heathertrack_document::{Fields, Findings, Node};

/// JSON encoding of one of the two lists.
pub trait List: Sized {
    /// Name of the list, used in its key in the store.
    const NAME: &'static str;

    /// Parses the list and collects all findings. `name` is the name of the document in findings.
    fn parse(name: &str, text: &str) -> Result<Self, Findings>;

    /// Returns the list as JSON.
    fn to_json(&self) -> serde_json::Value;
}

/// Checks the optional fields of a list besides its entries: the revision that an edit is based on
/// and the identifier of the edit. If the store's answer to an edit is lost, its author finds the
/// edit by the identifier.
fn check_edit_fields(fields: &mut Fields, findings: &mut Findings) {
    if let Some(node) = fields.optional("revision") {
        node.integer(0..=u64::MAX, findings);
    }
    if let Some(node) = fields.optional("edit") {
        node.string(findings);
    }
}

fn read_label<'a>(text: &'a str, node: &Node, findings: &mut Findings) -> Option<&'a str> {
    match Label::parse(text) {
        Ok(_) => Some(text),
        Err(error) => {
            node.reject(format!("has the name \"{text}\", which {error}"), findings);
            None
        }
    }
}
