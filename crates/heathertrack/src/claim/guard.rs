use crate::clock::Time;
use std::time::Duration;

/// Notices that the wall clock was stepped, by holding it against the monotonic clock.
///
/// While the two disagree by more than the allowed skew since the start, keys that carry a wall
/// time can't be judged and must be refused.
#[derive(Clone, Copy, Debug)]
pub struct Guard {
    skew: Duration,
    start_wall_ms: u64,
    start: Time,
}

impl Guard {
    /// Takes both clocks at the start of the process.
    pub const fn new(skew: Duration, wall_ms: u64, now: Time) -> Self {
        Guard { skew, start_wall_ms: wall_ms, start: now }
    }

    /// Whether the wall clock still agrees with the monotonic one.
    pub fn trusts(&self, wall_ms: u64, now: Time) -> bool {
        let passed = u64::try_from(now.since(self.start).as_millis()).unwrap_or(u64::MAX);
        let expected = self.start_wall_ms.saturating_add(passed);
        Duration::from_millis(expected.abs_diff(wall_ms)) <= self.skew
    }
}
