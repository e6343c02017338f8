//! The operators' two lists as JSON.

mod allowances;
mod plans;

use heathertrack::name::Label;
use heathertrack_document::{Findings, Node};

/// One of the two lists, as text.
pub trait List: Sized {
    /// Name of the list, as in its key in the store.
    const NAME: &'static str;

    /// Reads the list, collecting every finding.
    fn read(name: &str, text: &str) -> Result<Self, Findings>;

    /// Writes the list.
    fn write(&self) -> serde_json::Value;
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
