//! Registration of peers and handling of their messages.

use crate::entry::boot_clock::Clock;
use crate::entry::frame::{Beat, Copied, Frame, Submit};
use crate::entry::node::{Entry, Environment};
use crate::entry::state::{Peer, Reply};
use heathertrack::membership::depth::Depth;
use heathertrack::membership::links::BRISK;
use heathertrack::name::Host;
use heathertrack::pool::Load;
use heathertrack::pool::job::Outcome;
use heathertrack_platform::{HostRecord, Item, Metadata, Subject};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum transit time of a submitted job. An older job may already be at another dispatcher.
const STALE: Duration = Duration::from_millis(250);
/// Time after a failed call to the store during which peers are asked for newer items at once.
const STORE_LOST: Duration = Duration::from_millis(1_400);
/// Retry-after time of a job whose message arrived too late.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl<E: Environment> Entry<E> {
    /// Registers a link to a host, unless a preferred link to the same process exists. Returns the
    /// number of the link.
    pub(super) fn add_peer(
        self: &Rc<Self>,
        record: HostRecord,
        incarnation: u64,
        dialled: bool,
        frames: mpsc::Sender<Frame>,
    ) -> Option<u64> {
        let host = record.name.clone();
        // If two hosts dialled each other, both keep the link that the host with the smaller name
        // opened.
        let is_preferred = |dialled: bool| dialled == (self.record.name < host);
        let is_better = |peer: &Peer| {
            peer.incarnation == incarnation && is_preferred(peer.dialled) && !is_preferred(dialled)
        };
        if self.state.borrow().peers.get(&host).is_some_and(is_better) {
            return None;
        }
        let number = {
            let mut state = self.state.borrow_mut();
            state.next_call += 1;
            state.next_call
        };
        let replaced = self.state.borrow().peers.get(&host).map(|peer| peer.link);
        if let Some(replaced) = replaced {
            self.remove_peer(&host, replaced, "another link replaced it");
        }
        let peer = Peer {
            link: number,
            record: record.clone(),
            frames,
            incarnation,
            dialled,
            leaving: false,
            dispatches: false,
            load: Load::default(),
            handed_cores: 0.0,
            jobs: BTreeMap::new(),
            told: self.environment.clock().now(),
            promised: BRISK,
            handed: None,
            unused_since: None,
        };
        let mut state = self.state.borrow_mut();
        state.peers.insert(host.clone(), peer);
        state.hosts.insert(host.clone(), record);
        state.owners_stale = true;
        self.journal.peer_found(&host);
        Some(number)
    }

    pub(super) fn remove_peer(self: &Rc<Self>, host: &Host, link: u64, why: &str) {
        let now = self.now();
        let (jobs, calls, planned) = {
            let mut state = self.state.borrow_mut();
            if state.peers.get(host).map(|peer| peer.link) != Some(link) {
                return;
            }
            let Some(peer) = state.peers.remove(host) else { return };
            state.owners_stale = true;
            let handed: Vec<u64> = state
                .calls
                .iter()
                .filter(|(_, handed)| handed.host == *host)
                .map(|(call, _)| *call)
                .collect();
            let calls: Vec<_> =
                handed.into_iter().filter_map(|call| state.calls.remove(&call)).collect();
            (peer.jobs, calls, peer.leaving)
        };
        self.journal.peer_lost(host, why, jobs.len(), calls.len());
        self.note_rivals();
        for handed in calls {
            // The caller may have disconnected; then the outcome is discarded.
            let _ = handed.reply.send(Outcome::MayHaveRun("its dispatcher is gone"));
        }
        {
            let mut state = self.state.borrow_mut();
            state.pool.abandon(jobs.into_values(), now);
            if !planned {
                state.pool.stop_foreign(now);
            }
        }
        self.carry_out();
        self.update_owners();
    }

    pub(super) fn take_beat(self: &Rc<Self>, host: &Host, beat: &Beat) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let all = state.depth() == Depth::All;
        let own = if all { state.mirror.revision() } else { state.configured };
        let own_version = state.version();
        let behind = state.store_failed.is_some_and(|failed| now.since(failed) < STORE_LOST);
        let Some(peer) = state.peers.get_mut(host) else { return };
        let changed = peer.leaving != beat.leaving || peer.dispatches != beat.dispatches;
        peer.leaving = beat.leaving;
        peer.dispatches = beat.dispatches;
        peer.load = beat.load();
        peer.handed_cores = 0.0;
        let near = peer.record.data_centre == self.record.data_centre;
        let frames = peer.frames.clone();
        let newer = beat.version > own_version || (all && behind && beat.revision > own);
        if newer
            && state.catch_up.asks(behind, near, now)
            && frames.try_send(Frame::Ask { after: own, all }).is_err()
        {
            self.journal.link_full(host);
        }
        if changed {
            state.owners_stale = true;
            drop(state);
            self.update_owners();
        }
    }

    pub(super) fn take_submit(self: &Rc<Self>, host: &Host, submit: Submit, age: Duration) {
        let now = self.now();
        let call = submit.call;
        if age > STALE {
            let why = "the message was under way for too long";
            let how = (&Outcome::NotRun { retry_after: RETRY_AFTER, why }).into();
            self.send_to(host, Frame::Ended { call, how });
            return;
        }
        {
            let mut state = self.state.borrow_mut();
            let key = state.pool.submit(submit.into_request(now), now);
            state.replies.insert(key, Reply::Peer(host.clone(), call));
            if let Some(peer) = state.peers.get_mut(host) {
                peer.jobs.insert(call, key);
            }
        }
        self.carry_out();
    }

    pub(super) fn take_cancel(self: &Rc<Self>, host: &Host, call: u64) {
        let job = {
            let mut state = self.state.borrow_mut();
            state.peers.get_mut(host).and_then(|peer| peer.jobs.remove(&call))
        };
        if let Some(job) = job {
            self.state.borrow_mut().replies.remove(&job);
            self.with_pool(|pool, now| pool.cancel(job, now));
        }
    }

    pub(super) fn answer_items(&self, host: &Host, after: u64, all: bool) {
        let changes = self.state.borrow().mirror.after(after);
        let subject = |item: &&Item| self.environment.metadata().subject(&item.key);
        let wanted = |item: &&Item| all || subject(item) == Subject::Configuration;
        let items = changes.items.iter().filter(wanted).map(Copied::from).collect();
        let revision = if all { changes.revision } else { 0 };
        self.send_to(host, Frame::Items { items, revision });
    }

    fn send_to(&self, host: &Host, frame: Frame) {
        let state = self.state.borrow();
        let Some(peer) = state.peers.get(host) else { return };
        if peer.frames.try_send(frame).is_err() {
            self.journal.link_full(host);
        }
    }
}
