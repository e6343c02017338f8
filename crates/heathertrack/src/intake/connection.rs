use super::CONNECTION_BYTES;
use crate::clock::Time;
use std::time::Duration;

slotmap::new_key_type! {
    /// Key of a connection within one intake.
    pub struct ConnectionKey;
}

/// What a connection is busy with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits for its client, which sends a request, reads an answer or does nothing.
    Unfinished {
        /// When that began.
        since: Time,
    },
    /// A whole request is in progress.
    Working,
}

/// An open connection.
#[derive(Debug)]
pub(super) struct Connection<H> {
    pub handle: H,
    /// Bytes that are charged to it.
    pub held: usize,
    /// Bytes of its job in progress if that is large, or else 0.
    pub large_job: usize,
    pub phase: Phase,
}

impl<H> Connection<H> {
    /// Returns for how long it has waited for its client; `None` while a request is in progress.
    pub fn unfinished(&self, now: Time) -> Option<Duration> {
        match self.phase {
            Phase::Unfinished { since } => Some(now.since(since)),
            Phase::Working => None,
        }
    }

    /// Returns the order in which connections give way when bytes are short, the highest first: those
    /// that hold more than their buffers, by size and time, and then the others by time. `None` while a
    /// request is in progress.
    pub fn weight(&self, now: Time) -> Option<(u128, Duration)> {
        /// Counts in favour of size among requests that have just begun.
        const MIN_AGE: Duration = Duration::from_millis(100);
        let unfinished = self.unfinished(now)?;
        let beyond_buffers = self.held.saturating_sub(CONNECTION_BYTES) as u128;
        Some((beyond_buffers * (unfinished + MIN_AGE).as_millis(), unfinished))
    }
}
