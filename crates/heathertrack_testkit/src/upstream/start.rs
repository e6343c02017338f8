use serde::{Deserialize, Serialize};

/// A task as the stand-in saw it start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Its `Task-Key`.
    pub key: String,
    /// Its path.
    pub path: String,
    /// When it started, in Unix microseconds.
    pub started_us: u64,
    /// When it ended, if it did.
    pub ended_us: Option<u64>,
}
