//! The operators' two lists as JSON.

mod allowances;
mod plans;

use heathertrack::name::Label;
use heathertrack_document::{Fields, Findings, Node};

/// One of the two lists, as text.
pub trait List: Sized {
    /// Name of the list, as in its key in the store.
    const NAME: &'static str;

    /// Reads the list, collecting every finding.
    fn read(name: &str, text: &str) -> Result<Self, Findings>;

    /// Writes the list.
    fn write(&self) -> serde_json::Value;
}

/// Fields that a list may carry besides its entries: the revision that an edit was made from, and
/// the name of the edit, by which its author finds it again when the store's answer was lost.
fn read_origin(fields: &mut Fields, findings: &mut Findings) {
    if let Some(node) = fields.optional("revision") {
        node.integer(0..=u64::MAX, findings);
    }
    if let Some(node) = fields.optional("edit") {
        node.string(findings);
    }
}

fn label<'a>(text: &'a str, node: &Node, findings: &mut Findings) -> Option<&'a str> {
    match Label::parse(text) {
        Ok(_) => Some(text),
        Err(error) => {
            node.reject(format!("has the name \"{text}\", which {error}"), findings);
            None
        }
    }
}
