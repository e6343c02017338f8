use super::Time;
use std::time::Duration;

/// Detects that the process was paused, from a tick that should come at a steady period.
///
/// A process that was stopped and continued can't know what others decided meanwhile. Whoever uses
/// authority that lapses asks [`Stall::paused`] first, which also catches a pause that the tick has
/// not seen yet.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    limit: Duration,
    last_tick: Time,
    found: bool,
}

impl Stall {
    /// Watches for gaps between ticks longer than `limit`.
    pub const fn new(limit: Duration, now: Time) -> Self {
        Stall { limit, last_tick: now, found: false }
    }

    /// Notes a tick; a gap over the limit stays found until [`Stall::clear`].
    pub fn tick(&mut self, now: Time) {
        self.found |= now.since(self.last_tick) > self.limit;
        self.last_tick = now;
    }

    /// Whether the process was paused since the last [`Stall::clear`].
    pub fn paused(&self, now: Time) -> bool {
        self.found || now.since(self.last_tick) > self.limit
    }

    /// Forgets the pause, once the authority has been confirmed again.
    pub fn clear(&mut self, now: Time) {
        self.found = false;
        self.last_tick = now;
    }
}
