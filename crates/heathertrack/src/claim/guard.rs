use crate::clock::Time;
use std::time::Duration;

/// Detects steps of the wall clock by comparing it with the monotonic clock.
///
/// While the two have diverged by more than the allowed skew since the process started, the age of
/// keys that carry a wall time is unknown, and such keys must be refused.
#[derive(Clone, Copy, Debug)]
pub struct Guard {
    skew: Duration,
    start_wall_ms: u64,
    start: Time,
}

impl Guard {
    /// Records both clocks at the start of the process.
    pub const fn new(skew: Duration, wall_ms: u64, now: Time) -> Self {
        Guard { skew, start_wall_ms: wall_ms, start: now }
    }

    /// Returns whether the wall clock still agrees with the monotonic clock.
    pub fn trusts(&self, wall_ms: u64, now: Time) -> bool {
        let passed = u64::try_from(now.since(self.start).as_millis()).unwrap_or(u64::MAX);
        let expected = self.start_wall_ms.saturating_add(passed);
        Duration::from_millis(expected.abs_diff(wall_ms)) <= self.skew
    }
}
