//! Monotonic and wall clock of the process.

use heathertrack::clock::Time;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Reads the monotonic clock, relative to the start of the process, and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock whose monotonic time starts now.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// Returns the monotonic time since the start.
    pub fn now(&self) -> Time {
        Time::from_micros(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Converts a time of this clock to an [`Instant`].
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.since(Time::ZERO)
    }

    /// Returns the wall time in Unix milliseconds.
    pub fn wall_ms(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }
}
