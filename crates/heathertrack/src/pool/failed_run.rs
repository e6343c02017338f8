use crate::name;
use std::time::Duration;

/// A run that its upstream has listed as failed, and that counts against its task.
#[derive(Clone, Debug, PartialEq)]
pub struct FailedRun {
    /// Number of the run.
    pub number: u32,
    /// The upstream.
    pub upstream: name::Upstream,
    /// Unix time in milliseconds of the start of its process, if known.
    pub started_ms: Option<u64>,
    /// Time from the order to start it to the list with its end.
    pub age: Duration,
}
