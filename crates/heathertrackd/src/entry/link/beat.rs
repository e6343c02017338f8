//! Tells peers what this host believes of itself.

use crate::entry::boot_clock::Clock;
use crate::entry::frame::{Beat, Frame};
use crate::entry::node::{Entry, Environment};
use crate::entry::state::{Peer, State};
use heathertrack::clock::Time;
use heathertrack::membership::links::{self, BRISK};
use heathertrack::name::Host;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Shortest time between two tellings of a changed load, to a few peers.
const LOAD_BEAT: Duration = Duration::from_millis(20);
/// What is added to that for each peer beyond a few, so that large fleets don't drown in it.
const LOAD_BEAT_EACH: Duration = Duration::from_millis(2);
/// Time for which a peer that had a job handed to it keeps hearing often: jobs come in rows.
const HANDED: Duration = Duration::from_secs(2);

impl<E: Environment> Entry<E> {
    /// What this host tells of itself.
    pub(super) fn beat(&self) -> Beat {
        let state = self.state.borrow();
        let load = state.pool.load(self.environment.clock().now());
        Beat {
            leaving: state.leaving,
            dispatches: state.dispatches,
            revision: state.mirror.revision(),
            version: state.version(),
            cores: load.cores as f32,
            busy: load.busy as f32,
            waiting: load.waiting as f32,
            waiting_jobs: load.waiting_jobs,
            places: load.places,
            // Each link has its own.
            period_us: 0,
        }
    }

    /// Tells all peers what this host believes of itself.
    pub(in crate::entry) fn tell_peers(&self) {
        self.tell(&self.beat(), |_| true);
    }

    /// Tells the peers that are due.
    fn tell(&self, beat: &Beat, is_due: impl Fn(&Peer) -> bool) {
        let now = self.environment.clock().now();
        let mut state = self.state.borrow_mut();
        let links = state.peers.len();
        let busy = state.hosts_with_calls(now);
        let dispatches = state.is_dispatcher();
        for (host, peer) in &mut state.peers {
            if !is_due(peer) {
                continue;
            }
            let period = links::period(links, dispatches || busy.contains(host));
            self.tell_peer(host, peer, beat, period, now);
        }
    }

    fn tell_peer(&self, host: &Host, peer: &mut Peer, beat: &Beat, period: Duration, now: Time) {
        if peer.frames.try_send(Frame::Beat(beat.with_period(period))).is_err() {
            self.journal.link_full(host);
            return;
        }
        peer.told = now;
        peer.promised = period;
    }

    /// Promises a peer frequent signs of life, as it is about to get a job from this host.
    pub(in crate::entry) fn promise_beats(&self, host: &Host) {
        let now = self.environment.clock().now();
        {
            let mut state = self.state.borrow_mut();
            let Some(peer) = state.peers.get_mut(host) else { return };
            peer.handed = Some(now);
            if peer.promised <= BRISK {
                return;
            }
        }
        let beat = self.beat();
        if let Some(peer) = self.state.borrow_mut().peers.get_mut(host) {
            self.tell_peer(host, peer, &beat, BRISK, now);
        }
    }
}

impl State {
    /// Peers that have jobs of this host, or had one lately.
    fn hosts_with_calls(&self, now: Time) -> BTreeSet<Host> {
        let lately = |peer: &Peer| peer.handed.is_some_and(|handed| now.since(handed) < HANDED);
        let handed = self.peers.iter().filter(|(_, peer)| lately(peer)).map(|(host, _)| host);
        handed.chain(self.calls.values().map(|handed| &handed.host)).cloned().collect()
    }
}

/// Tells peers of this host's load: soon after it has changed, and at the period promised to each.
pub(super) async fn beat<E: Environment>(entry: Rc<Entry<E>>) {
    let mut last: Option<Beat> = None;
    loop {
        let peers = entry.state.borrow().peers.len() as u32;
        let pause = (LOAD_BEAT + LOAD_BEAT_EACH * peers.saturating_sub(10)).min(BRISK);
        sleep(pause).await;
        let beat = entry.beat();
        if last.as_ref().is_none_or(|last| last.has_news(&beat)) {
            entry.tell(&beat, |_| true);
            last = Some(beat);
        } else {
            let now = entry.environment.clock().now();
            // The next look comes a pause later; what would then be late is told now.
            entry.tell(&beat, |peer| now + pause > peer.told + peer.promised);
        }
    }
}
