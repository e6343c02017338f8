use std::fmt;
use thiserror::Error;

/// Maximum length of a label, in bytes.
pub const MAX_BYTES: usize = 64;

/// Validated name of 1 to 64 characters, each one of `a-z`, `0-9` and `-`, so that it is safe in
/// keys, paths and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Label(String);

/// Reason why a text is not a valid label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LabelError {
    /// The text is empty.
    #[error("is empty")]
    Empty,
    /// The text is longer than 64 bytes.
    #[error("is longer than 64 bytes")]
    TooLong,
    /// The text contains a byte other than `a-z`, `0-9` and `-`.
    #[error("may hold only a-z, 0-9 and -")]
    InvalidByte,
}

impl Label {
    /// Validates a text.
    pub fn parse(text: &str) -> Result<Self, LabelError> {
        if text.is_empty() {
            return Err(LabelError::Empty);
        }
        if text.len() > MAX_BYTES {
            return Err(LabelError::TooLong);
        }
        let plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
        if !text.bytes().all(plain) {
            return Err(LabelError::InvalidByte);
        }
        Ok(Label(text.to_owned()))
    }

    /// Returns the label as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Label {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
