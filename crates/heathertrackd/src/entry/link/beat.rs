//! Sends heartbeats, which carry the load and state of this host, to its peers.

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

/// Shortest time between two heartbeats that report a changed load, with up to ten peers.
const LOAD_BEAT: Duration = Duration::from_millis(20);
/// Added to that time for each further peer, to bound the number of messages in large fleets.
const LOAD_BEAT_EACH: Duration = Duration::from_millis(2);
/// Time for which a peer keeps receiving frequent heartbeats after a job was handed to it, because
/// jobs tend to come in bursts.
const HANDED: Duration = Duration::from_secs(2);

impl<E: Environment> Entry<E> {
    /// Returns the heartbeat of this host.
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
            // Set for each link.
            period_us: 0,
        }
    }

    /// Sends a heartbeat to all peers.
    pub(in crate::entry) fn tell_peers(&self) {
        self.tell(&self.beat(), |_| true);
    }

    /// Sends a heartbeat to the peers that are due.
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

    /// Switches a peer that is about to receive a job to frequent heartbeats.
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
    /// Returns the peers that hold a job of this host or were handed one recently.
    fn hosts_with_calls(&self, now: Time) -> BTreeSet<Host> {
        let lately = |peer: &Peer| peer.handed.is_some_and(|handed| now.since(handed) < HANDED);
        let handed = self.peers.iter().filter(|(_, peer)| lately(peer)).map(|(host, _)| host);
        handed.chain(self.calls.values().map(|handed| &handed.host)).cloned().collect()
    }
}

/// Sends heartbeats: soon after the load has changed, and at the period announced to each peer.
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
            // The next check follows after `pause`; heartbeats that would be late by then are sent
            // now.
            entry.tell(&beat, |peer| now + pause > peer.told + peer.promised);
        }
    }
}
