use super::Time;
use std::time::Duration;

/// Detects that the process was paused, from gaps in a periodic tick.
///
/// A process that was suspended and resumed doesn't know what others decided in the meantime. It
/// must check [`Stall::paused`] before each action that needs an authority which expires, such
/// as the use of a seat. The check also detects a pause since the last tick.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// Longest gap between ticks that is not taken for a pause.
    limit: Duration,
    last_tick: Time,
    gap_detected: bool,
}

impl Stall {
    /// Creates a detector of gaps between ticks longer than `limit`.
    pub const fn new(limit: Duration, now: Time) -> Self {
        Stall { limit, last_tick: now, gap_detected: false }
    }

    /// Records a tick. A gap over the limit stays detected until [`Stall::clear`].
    pub fn tick(&mut self, now: Time) {
        self.gap_detected |= now.since(self.last_tick) > self.limit;
        self.last_tick = now;
    }

    /// Whether the process was paused since the last [`Stall::clear`].
    pub fn paused(&self, now: Time) -> bool {
        self.gap_detected || now.since(self.last_tick) > self.limit
    }

    /// Resets the detector. Call it once the process has confirmed its authority again.
    pub fn clear(&mut self, now: Time) {
        self.gap_detected = false;
        self.last_tick = now;
    }
}
