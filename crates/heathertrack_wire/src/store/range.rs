use super::{Bytes64, Number};
use serde::{Deserialize, Serialize};

/// Request to read a key, or all keys from `key` up to `range_end`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeRequest {
    /// The key, or the first key of the range.
    #[serde(default)]
    pub key: Bytes64,
    /// End of the range, exclusive. `None` for a single key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Bytes64>,
    /// Revision of the store to read at. Zero reads the latest.
    #[serde(default, skip_serializing_if = "Number::is_default")]
    pub revision: Number,
    /// Omits keys last written before this revision. Zero omits none.
    #[serde(default, skip_serializing_if = "Number::is_default")]
    pub min_mod_revision: Number,
}

/// Response to a [`RangeRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeResponse {
    /// Header of the response.
    #[serde(default)]
    pub header: Header,
    /// Keys found, with their values.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// Header of a response: the state of the store.
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
    /// Revision at which the key was created.
    #[serde(default)]
    pub create_revision: Number,
    /// Revision at which the value was last written.
    #[serde(default)]
    pub mod_revision: Number,
    /// Lease that the key is attached to. Zero if there is none.
    #[serde(default, skip_serializing_if = "Number::is_default")]
    pub lease: Number,
}
