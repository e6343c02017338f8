//! Tells peers what this host believes of itself.

use crate::entry::boot_clock::Clock;
use crate::entry::frame::{Beat, Frame};
use crate::entry::node::{Entry, Environment};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Period of signs of life.
const BEAT: Duration = Duration::from_millis(100);
/// Shortest time between two tellings of a changed load, to a few peers.
const LOAD_BEAT: Duration = Duration::from_millis(20);
/// What is added to that for each peer beyond a few, so that large fleets don't drown in it.
const LOAD_BEAT_EACH: Duration = Duration::from_millis(2);

impl<E: Environment> Entry<E> {
    /// What this host tells of itself.
    pub(super) fn beat(&self) -> Beat {
        let state = self.state.borrow();
        let beat = Beat {
            leaving: state.leaving,
            dispatches: state.dispatches,
            revision: state.mirror.revision(),
            version: state.version(),
            cores: 0.0,
            busy: 0.0,
            waiting: 0.0,
            waiting_jobs: 0,
            places: 0,
        };
        beat.with_load(&state.pool.load(self.environment.clock().now()))
    }

    /// Tells all peers what this host believes of itself.
    pub(in crate::entry) fn tell_peers(&self) {
        let beat = self.beat();
        self.tell(&beat);
    }

    fn tell(&self, beat: &Beat) {
        for (host, peer) in &self.state.borrow().peers {
            if peer.frames.try_send(Frame::Beat(beat.clone())).is_err() {
                self.journal.link_full(host);
            }
        }
    }
}

/// Tells peers of this host's load: soon after it has changed, and at a steady period.
pub(super) async fn beat<E: Environment>(entry: Rc<Entry<E>>) {
    let mut told = Instant::now();
    let mut last: Option<Beat> = None;
    loop {
        let peers = entry.state.borrow().peers.len() as u32;
        let pause = (LOAD_BEAT + LOAD_BEAT_EACH * peers.saturating_sub(10)).min(BEAT);
        sleep(pause).await;
        let beat = entry.beat();
        let now = Instant::now();
        if last.as_ref() != Some(&beat) || now >= told + BEAT {
            entry.tell(&beat);
            told = now;
            last = Some(beat);
        }
    }
}
