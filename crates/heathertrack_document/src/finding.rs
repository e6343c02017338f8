use std::fmt;

/// An error in a document, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Path of fields and indices, such as `tasks[3].path`; empty for the document itself.
    pub path: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Byte offset in the document.
    pub offset: usize,
    /// Predicate of the sentence whose subject is the path, such as "is empty".
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let subject = if self.path.is_empty() { "the document" } else { &self.path };
        write!(f, "{}:{}: {subject} {}", self.line, self.column, self.message)
    }
}
