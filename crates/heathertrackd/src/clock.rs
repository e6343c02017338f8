//! The process's clocks.

use heathertrack::clock::Time;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock, counted from the start of the process, and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// Monotonic time since the start.
    pub fn now(&self) -> Time {
        Time::from_micros(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// The instant of a monotonic time.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.since(Time::ZERO)
    }

    /// Wall time in Unix milliseconds.
    pub fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
