use crate::Finding;
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};
use std::fmt;

/// Largest number of findings kept for one document; later ones are dropped.
const MAX_FINDINGS: usize = 100;

/// All findings in one document.
#[derive(Clone, Debug)]
pub struct Findings {
    source: NamedSource<String>,
    findings: Vec<Finding>,
}

impl Findings {
    /// Creates an empty list for the document with this name and text.
    pub fn new(name: &str, text: &str) -> Self {
        Findings { source: NamedSource::new(name, text.to_owned()), findings: Vec::new() }
    }

    /// Adds a finding about the value at `path`, which is at a byte offset in the text. `message`
    /// is a predicate whose subject is the path.
    pub fn add(&mut self, offset: usize, path: &str, message: impl Into<String>) {
        if self.findings.len() >= MAX_FINDINGS {
            return;
        }
        let text = self.source.inner();
        let offset = floor_char_boundary(text, offset);
        let before = &text[..offset];
        let line = before.matches('\n').count() + 1;
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        let column = before[line_start..].chars().count() + 1;
        let message = message.into();
        self.findings.push(Finding { path: path.to_owned(), line, column, offset, message });
    }

    /// Returns the name of the document.
    pub fn name(&self) -> &str {
        self.source.name()
    }

    /// Returns the findings in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.findings.iter()
    }

    /// Returns the number of findings.
    pub fn len(&self) -> usize {
        self.findings.len()
    }

    /// Returns true if there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }
}

/// Returns the last character boundary that is not after `offset`.
fn floor_char_boundary(text: &str, offset: usize) -> usize {
    let mut at = offset.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.len();
        let noun = if count == 1 { "finding" } else { "findings" };
        write!(f, "{}: {count} {noun}", self.name())?;
        for finding in &self.findings {
            write!(f, "\n  {finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

impl Diagnostic for Findings {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = |finding: &Finding| {
            let text = format!("{} {}", finding.path, finding.message);
            LabeledSpan::new(Some(text.trim().to_owned()), finding.offset, 1)
        };
        Some(Box::new(self.findings.iter().map(label)))
    }
}
