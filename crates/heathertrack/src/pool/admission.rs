use super::Load;
use std::time::Duration;

/// Share of an upstream's cores that tasks of uneven size can use (two of 6.8 cores on 16).
const USABLE_SHARE: f64 = 0.85;

/// Returns the expected time until work that arrives now is started, behind `ahead` core-seconds.
///
/// Addresses the load pattern "a queue grows faster than it drains": a job that would wait too long
/// is refused before it is queued.
pub(super) fn expected_wait(load: &Load, ahead: f64) -> Duration {
    if load.free_slots > 0 && ahead <= f64::EPSILON {
        return Duration::ZERO;
    }
    if load.cores <= f64::EPSILON {
        return Duration::MAX;
    }
    Duration::from_secs_f64((ahead / (load.cores * USABLE_SHARE)).min(3_600.0))
}
