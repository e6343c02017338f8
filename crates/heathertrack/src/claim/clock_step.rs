use crate::clock::Time;
use std::time::Duration;

/// Detects steps of the wall clock by comparing it with the monotonic clock.
///
/// While the two have diverged by more than `skew` since the process started, the age of keys that
/// carry a wall time is unknown, and such keys must be refused.
#[derive(Clone, Copy, Debug)]
pub struct ClockStepDetector {
    skew: Duration,
    start_wall_ms: u64,
    started: Time,
}

impl ClockStepDetector {
    /// Records both clocks at the start of the process.
    pub const fn new(skew: Duration, wall_ms: u64, now: Time) -> Self {
        ClockStepDetector { skew, start_wall_ms: wall_ms, started: now }
    }

    /// Returns whether the wall clock and the monotonic clock differ by at most `skew` in the time
    /// elapsed since the process started.
    pub fn clocks_agree(&self, wall_ms: u64, now: Time) -> bool {
        let elapsed_ms = u64::try_from(now.since(self.started).as_millis()).unwrap_or(u64::MAX);
        let expected_ms = self.start_wall_ms.saturating_add(elapsed_ms);
        Duration::from_millis(expected_ms.abs_diff(wall_ms)) <= self.skew
    }
}
