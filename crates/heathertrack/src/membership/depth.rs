//! How much of the platform's store a host follows.

use std::time::Duration;

/// Upstreams up to which every host follows all their records.
const FEW: usize = 100;
/// Time for each upstream between two readings of everything, by a host that follows the
/// configuration alone: it then reads fifty records a second.
const EACH: Duration = Duration::from_millis(20);
/// Shortest time between two such readings.
const SHORTEST: Duration = Duration::from_secs(10);

/// How much of the store a host follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Depth {
    /// Every change.
    All,
    /// The configuration, and all else from time to time.
    Configuration,
}

/// How much a host follows that has upstreams to dispatch to, or not.
///
/// Answers the load pattern "hundreds of hosts and thousands of upstreams, each of which renews its
/// record every second or two": only dispatchers need to know them as they are now.
pub fn depth(upstreams: usize, dispatches: bool) -> Depth {
    if dispatches || upstreams <= FEW { Depth::All } else { Depth::Configuration }
}

/// Time between two readings of everything by a host that follows the configuration alone.
pub fn reading_period(upstreams: usize) -> Duration {
    let each = EACH * u32::try_from(upstreams).unwrap_or(u32::MAX);
    each.max(SHORTEST)
}
