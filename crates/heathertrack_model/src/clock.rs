use heathertrack::clock::Time;
use heathertrackd::entry::Clock;
use tokio::time::Instant;

/// A host's clock: the virtual time since its process started. It advances while the host is
/// suspended.
#[derive(Clone, Copy, Debug)]
pub struct VirtualClock {
    start: Instant,
}

impl VirtualClock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        VirtualClock { start: Instant::now() }
    }
}

impl Clock for VirtualClock {
    fn now(&self) -> Time {
        let span = self.start.elapsed();
        Time::from_micros(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
    }
}
