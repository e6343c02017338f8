use heathertrack::clock::Time;
use heathertrackd::entry::Clock;
use tokio::time::Instant;

/// Virtual time since a host's start. It advances while the host is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Virtual {
    start: Instant,
}

impl Virtual {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Virtual { start: Instant::now() }
    }
}

impl Clock for Virtual {
    fn now(&self) -> Time {
        let span = self.start.elapsed();
        Time::from_micros(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
    }
}
