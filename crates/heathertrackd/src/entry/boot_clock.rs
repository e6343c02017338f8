use heathertrack::clock::Time;
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock of a host.
pub trait Clock: Clone + 'static {
    /// Returns the time since the host's process started.
    fn now(&self) -> Time;
}

/// Clock that starts at its creation. Time for which the system was suspended is included.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start_us: u64,
}

impl BootClock {
    /// Returns a clock that starts now.
    pub fn start() -> Self {
        BootClock { start_us: read_us() }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Time {
        Time::from_micros(read_us().saturating_sub(self.start_us))
    }
}

/// Returns the time since the system booted, in microseconds.
fn read_us() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}
