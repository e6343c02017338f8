use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time on the monotonic clock of one process, in microseconds since its start.
///
/// Times of different processes must never be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The start of the process.
    pub const ZERO: Time = Time(0);

    /// Creates a time from microseconds since the process started.
    pub const fn from_micros(micros: u64) -> Self {
        Time(micros)
    }

    /// Creates a time from milliseconds since the process started.
    pub const fn from_millis(millis: u64) -> Self {
        Time(millis * 1_000)
    }

    /// Microseconds since the process started.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whole milliseconds since the process started.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }
}
