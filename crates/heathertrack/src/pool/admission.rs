use super::Load;
use std::time::Duration;

/// Share of an upstream's cores that tasks of uneven size can use: two tasks of 6.8 cores take 0.85
/// of 16 cores.
const USABLE_SHARE: f64 = 0.85;
/// Largest finite expected wait, in seconds. [`Duration::from_secs_f64`] panics on values that are
/// too large.
const MAX_WAIT_S: f64 = 3_600.0;

/// Returns the expected time until a job that arrives now is started, if tasks of
/// `core_seconds_ahead` are started first; [`Duration::MAX`] without usable upstreams.
///
/// Addresses the load pattern "a queue grows faster than it drains": a job that would wait too long
/// is refused before it is queued.
pub(super) fn expected_wait(load: &Load, core_seconds_ahead: f64) -> Duration {
    if load.free_slots > 0 && core_seconds_ahead <= f64::EPSILON {
        return Duration::ZERO;
    }
    if load.cores <= f64::EPSILON {
        return Duration::MAX;
    }
    Duration::from_secs_f64((core_seconds_ahead / (load.cores * USABLE_SHARE)).min(MAX_WAIT_S))
}
