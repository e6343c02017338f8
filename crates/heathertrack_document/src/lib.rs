//! Reads JSON documents and collects every finding with its position.
//!
//! A reader requests the fields that it knows. Wrong types, values out of range, and missing or
//! unknown fields are recorded with line and column and don't stop the reader. The author of a
//! document therefore sees all findings at once.
//!
//! ```
//! use heathertrack_document::read;
//!
//! let findings = read("size.json", r#"{"width": "ten", "heigth": 3}"#, |node, findings| {
//!     let mut fields = node.fields(findings)?;
//!     let width = fields.required("width", findings).and_then(|n| n.integer(1..=100, findings));
//!     fields.finish(findings);
//!     width
//! })
//! .unwrap_err();
//! assert_eq!(findings.len(), 2);
//! ```

mod fields;
mod finding;
mod findings;
mod node;

pub use fields::Fields;
pub use finding::Finding;
pub use findings::Findings;
pub use node::Node;

use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

/// Largest nesting depth of arrays and objects; deeper documents are rejected before parsing.
pub const MAX_DEPTH: usize = 64;

/// Reads the document `text` with `reader`, which adds findings and returns `None` if it can't
/// continue. `name` is the document's name in the findings.
///
/// Returns the reader's result only if there are no findings.
pub fn read<T>(
    name: &str,
    text: &str,
    reader: impl FnOnce(&Node, &mut Findings) -> Option<T>,
) -> Result<T, Findings> {
    let mut findings = Findings::new(name, text);
    if let Some(offset) = find_excess_depth(text) {
        findings.add(offset, "", format!("is nested deeper than {MAX_DEPTH} levels"));
        return Err(findings);
    }
    let strict = ParseOptions {
        allow_comments: false,
        allow_loose_object_property_names: false,
        allow_trailing_commas: false,
    };
    let value = match parse_to_ast(text, &CollectOptions::default(), &strict) {
        Ok(parsed) => parsed.value,
        Err(error) => {
            findings.add(error.range().start, "", format!("is not JSON: {}", error.kind()));
            return Err(findings);
        }
    };
    let Some(value) = value else {
        findings.add(0, "", "is empty");
        return Err(findings);
    };
    let node = Node::new(&value, String::new(), text);
    let result = reader(&node, &mut findings);
    match result {
        Some(result) if findings.is_empty() => Ok(result),
        None if findings.is_empty() => {
            // `reader` has returned `None` without a reason.
            findings.add(value.range().start, "", "cannot be read");
            Err(findings)
        }
        _ => Err(findings),
    }
}

/// Returns the byte offset at which the nesting exceeds [`MAX_DEPTH`], if it does.
fn find_excess_depth(text: &str) -> Option<usize> {
    let mut depth = 0_usize;
    let mut in_string = false;
    let mut escaped = false;
    for (offset, byte) in text.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => depth += 1,
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Some(offset);
        }
    }
    None
}
