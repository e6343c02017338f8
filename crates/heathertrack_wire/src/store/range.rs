use super::{Bytes64, Number};
use serde::{Deserialize, Serialize};

/// Reads a key, or all keys up to `range_end`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeRequest {
    /// The key, or the first one.
    #[serde(default)]
    pub key: Bytes64,
    /// The first key past the range; empty for a single key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Bytes64>,
    /// Revision of the store at which to read; zero for now.
    #[serde(default, skip_serializing_if = "Number::is_default")]
    pub revision: Number,
    /// Keys written before this revision are left out; zero for none.
    #[serde(default, skip_serializing_if = "Number::is_default")]
    pub min_mod_revision: Number,
}

/// What was read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeResponse {
    /// State of the store.
    #[serde(default)]
    pub header: Header,
    /// The keys found.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// State of the store at an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Revision of the whole store.
    #[serde(default)]
    pub revision: Number,
}

/// A key and its value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: Bytes64,
    /// The value.
    #[serde(default)]
    pub value: Bytes64,
    /// Revision at which the key was made.
    #[serde(default)]
    pub create_revision: Number,
    /// Revision at which the value was written.
    #[serde(default)]
    pub mod_revision: Number,
    /// The lease that the key hangs on; zero for none.
    #[serde(default, skip_serializing_if = "Number::is_default")]
    pub lease: Number,
}
