use heathertrack::clock::Time;
use rustix::time::{ClockId, clock_gettime};

/// A host's clock.
pub trait Clock: Clone + 'static {
    /// Time since the host's start.
    fn now(&self) -> Time;
}

/// Clock that counts the time in which the host was suspended, since its first reading.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start_us: u64,
}

impl BootClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        BootClock { start_us: read_us() }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Time {
        Time::from_micros(read_us().saturating_sub(self.start_us))
    }
}

fn read_us() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}
