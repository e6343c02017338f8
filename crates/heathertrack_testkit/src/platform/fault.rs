use serde::{Deserialize, Serialize};

/// Faults that the stand-in of the platform injects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// The store closes connections without processing requests.
    pub down: bool,
    /// The host list closes connections without a response.
    pub hosts_down: bool,
    /// Age of the served host list, in milliseconds.
    pub hosts_lag_ms: u64,
    /// Delay of every request, in milliseconds.
    pub slow_ms: u64,
    /// Requests to the store take effect, but their responses are lost.
    pub lose_answers: bool,
    /// Reads return the state of the store at the time when this fault was set.
    pub stale_reads: bool,
}
