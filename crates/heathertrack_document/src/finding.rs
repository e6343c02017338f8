use std::fmt;

/// One thing that is wrong in a document, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Path of fields and indices, such as `tasks[3].path`; empty for the document itself.
    pub path: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Byte offset.
    pub offset: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let subject = if self.path.is_empty() { "the document" } else { &self.path };
        write!(f, "{}:{}: {subject} {}", self.line, self.column, self.message)
    }
}
