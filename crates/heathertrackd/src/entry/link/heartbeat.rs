//! Sends heartbeats, which carry the load and state of this host, to its peers.

use crate::entry::boot_clock::Clock;
use crate::entry::frame::{Frame, Heartbeat};
use crate::entry::node::{EntryHost, Environment};
use crate::entry::state::{Peer, State};
use heathertrack::clock::Time;
use heathertrack::membership::links::{self, FAST_HEARTBEAT_PERIOD};
use heathertrack::name::Host;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Shortest time between two heartbeats that report a changed load, with few peers.
const LOAD_HEARTBEAT_PAUSE: Duration = Duration::from_millis(20);
/// Number of peers up to which [`LOAD_HEARTBEAT_PAUSE`] applies unchanged.
const PEERS_AT_BASE_PAUSE: u32 = 10;
/// Added to [`LOAD_HEARTBEAT_PAUSE`] for each further peer, to bound the number of messages in
/// large fleets.
const PAUSE_PER_PEER: Duration = Duration::from_millis(2);
/// Time for which a peer keeps receiving frequent heartbeats after a job was handed to it, because
/// jobs tend to come in bursts.
const RECENT_HANDOVER: Duration = Duration::from_secs(2);

impl<E: Environment> EntryHost<E> {
    /// Returns the heartbeat of this host.
    pub(super) fn heartbeat(&self) -> Heartbeat {
        let state = self.state.borrow();
        let now = self.environment.clock().now();
        let load = state.pool.load(now);
        Heartbeat {
            leaving: state.leaving,
            dispatches: state.pool.owns_any_of(&self.record.data_centre, now),
            revision: state.mirror.revision(),
            version: state.version(),
            cores: load.cores as f32,
            busy: load.busy_cores as f32,
            waiting: load.queued_core_seconds as f32,
            waiting_jobs: load.queued_jobs,
            places: load.free_slots,
            // Set for each link.
            period_us: 0,
            is_starting: !state.has_started,
            has_jobs: state.pool.has_jobs(),
            operator_revision: state.operator_revision,
            owns_upstreams: state.is_dispatcher(),
        }
    }

    /// Sends a heartbeat to all peers.
    pub(in crate::entry) fn send_heartbeat_to_all(&self) {
        self.send_heartbeats(&self.heartbeat(), |_| true);
    }

    /// Sends a heartbeat to the peers that are due.
    fn send_heartbeats(&self, heartbeat: &Heartbeat, is_due: impl Fn(&Peer) -> bool) {
        let now = self.environment.clock().now();
        let mut state = self.state.borrow_mut();
        let links = state.peers.len();
        let with_remote_jobs = state.hosts_with_remote_jobs(now);
        let is_depended_on = state.is_dispatcher() || state.pool.follows_released_runs();
        for (host, peer) in &mut state.peers {
            if !is_due(peer) {
                continue;
            }
            let period =
                links::heartbeat_period(links, is_depended_on || with_remote_jobs.contains(host));
            self.send_heartbeat(host, peer, heartbeat, period, now);
        }
    }

    fn send_heartbeat(
        &self,
        host: &Host,
        peer: &mut Peer,
        heartbeat: &Heartbeat,
        period: Duration,
        now: Time,
    ) {
        if peer.outbox.send(Frame::Heartbeat(heartbeat.with_period(period))).is_err() {
            self.event_log.link_full(host);
            return;
        }
        peer.last_heartbeat = now;
        peer.heartbeat_period = period;
    }

    /// Switches a peer that is about to receive a job to frequent heartbeats.
    pub(in crate::entry) fn start_frequent_heartbeats(&self, host: &Host) {
        let now = self.environment.clock().now();
        {
            let mut state = self.state.borrow_mut();
            let Some(peer) = state.peers.get_mut(host) else { return };
            peer.last_handover = Some(now);
            if peer.heartbeat_period <= FAST_HEARTBEAT_PERIOD {
                return;
            }
        }
        let heartbeat = self.heartbeat();
        if let Some(peer) = self.state.borrow_mut().peers.get_mut(host) {
            self.send_heartbeat(host, peer, &heartbeat, FAST_HEARTBEAT_PERIOD, now);
        }
    }
}

impl State {
    /// Returns the hosts that hold a job of this host or were handed one recently.
    fn hosts_with_remote_jobs(&self, now: Time) -> BTreeSet<Host> {
        let is_recent =
            |peer: &Peer| peer.last_handover.is_some_and(|at| now.since(at) < RECENT_HANDOVER);
        let recent = self.peers.iter().filter(|(_, peer)| is_recent(peer)).map(|(host, _)| host);
        recent.chain(self.remote_jobs.values().map(|job| &job.host)).cloned().collect()
    }
}

/// Sends heartbeats: soon after the load has changed, and at the period announced to each peer.
pub(super) async fn run<E: Environment>(entry: Rc<EntryHost<E>>) {
    let mut last: Option<Heartbeat> = None;
    loop {
        let peers = entry.state.borrow().peers.len() as u32;
        let pause = (LOAD_HEARTBEAT_PAUSE
            + PAUSE_PER_PEER * peers.saturating_sub(PEERS_AT_BASE_PAUSE))
        .min(FAST_HEARTBEAT_PERIOD);
        sleep(pause).await;
        let heartbeat = entry.heartbeat();
        if last.as_ref().is_none_or(|last| last.differs_beyond_revision(&heartbeat)) {
            entry.send_heartbeats(&heartbeat, |_| true);
            last = Some(heartbeat);
        } else {
            let now = entry.environment.clock().now();
            // The next check follows after `pause`; heartbeats that would be late by then are sent
            // now.
            entry.send_heartbeats(&heartbeat, |peer| {
                now + pause > peer.last_heartbeat + peer.heartbeat_period
            });
        }
    }
}
