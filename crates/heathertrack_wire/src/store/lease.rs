use super::Number;
use serde::{Deserialize, Serialize};

/// Asks for a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrantRequest {
    /// Its time to live, in seconds.
    #[serde(rename = "TTL", default)]
    pub ttl: Number,
    /// Its name; zero lets the store choose.
    #[serde(rename = "ID", default, skip_serializing_if = "Number::is_default")]
    pub id: Number,
}

/// A lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrantResponse {
    /// Its name.
    #[serde(rename = "ID", default)]
    pub id: Number,
    /// Its time to live, in seconds.
    #[serde(rename = "TTL", default)]
    pub ttl: Number,
}
