use serde::{Deserialize, Serialize};

/// What is wrong with the platform now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// The store closes each connection without doing anything.
    pub down: bool,
    /// The host list does too.
    pub hosts_down: bool,
    /// The host list is served as it was so long ago, in milliseconds.
    pub hosts_lag_ms: u64,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// Calls to the store take effect, but their answers are lost.
    pub lose_answers: bool,
    /// Reads show the store as it was when this was set.
    pub stale_reads: bool,
}
