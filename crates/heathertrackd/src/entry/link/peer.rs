//! Registration of peers and handling of their messages, on the links of the users' platform. The
//! tarpc interface between hosts is separate: `crate::peers`, `crate::server`, `crate::heartbeats`.

use crate::entry::boot_clock::Clock;
use crate::entry::frame::{Frame, Heartbeat, Hello, ItemWire, LossWire, RosterWire, Submit};
use crate::entry::link::Outbox;
use crate::entry::node::{EntryHost, Environment};
use crate::entry::state::{Peer, Reply};
use heathertrack::membership::depth::MirrorScope;
use heathertrack::membership::links::FAST_HEARTBEAT_PERIOD;
use heathertrack::name::{Host, Upstream};
use heathertrack::pool::job::Outcome;
use heathertrack::pool::{Load, Roster};
use heathertrack_platform::{HostRecord, Item, MetadataStore};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Maximum transit time of a submitted job. After a longer one, the sender may already have
/// submitted the job to another dispatcher.
const MAX_SUBMIT_TRANSIT_TIME: Duration = Duration::from_millis(250);
/// Time after a failed call to the store during which peers are asked for newer items at once.
const STORE_FAILURE_WINDOW: Duration = Duration::from_millis(1_400);
/// Retry-after time of a job whose message arrived too late.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl<E: Environment> EntryHost<E> {
    /// Registers a link to a host, unless a preferred link to the same process exists. Returns the
    /// number of the link.
    pub(super) fn add_peer(
        self: &Rc<Self>,
        hello: Hello,
        dialled: bool,
        outbox: Outbox,
    ) -> Option<u64> {
        let Hello {
            incarnation,
            takes_handovers,
            takes_losses,
            takes_doubtful_losses,
            takes_rosters,
            takes_cancellations,
            ..
        } = hello;
        let record = HostRecord::from(hello);
        let host = record.name.clone();
        // If two hosts dialled each other, both keep the link that the host with the smaller name
        // opened.
        let is_preferred = |dialled: bool| dialled == (self.record.name < host);
        let is_existing_better = |peer: &Peer| {
            peer.incarnation == incarnation && is_preferred(peer.dialled) && !is_preferred(dialled)
        };
        if self.state.borrow().peers.get(&host).is_some_and(is_existing_better) {
            return None;
        }
        let link_number = {
            let mut state = self.state.borrow_mut();
            state.last_number += 1;
            state.last_number
        };
        let replaced = self.state.borrow().peers.get(&host).map(|peer| peer.link_number);
        if let Some(replaced) = replaced {
            self.remove_peer(&host, replaced, "replaced by another link");
        }
        let peer = Peer {
            link_number,
            record: record.clone(),
            outbox,
            incarnation,
            takes_handovers,
            takes_losses,
            takes_doubtful_losses,
            takes_rosters,
            takes_cancellations,
            dialled,
            // The state and load are unknown until the first heartbeat of the peer.
            has_reported: false,
            is_starting: true,
            leaving: false,
            dispatches_own_centre: false,
            owns_upstreams: false,
            has_jobs: false,
            load: Load::default(),
            handed_cores: 0.0,
            jobs: BTreeMap::new(),
            last_heartbeat: self.environment.clock().now(),
            heartbeat_period: FAST_HEARTBEAT_PERIOD,
            last_handover: None,
            unused_since: None,
        };
        if takes_cancellations {
            for frame in self.cancelled_frames() {
                // The queue of a new link has room.
                let _ = peer.outbox.send(frame);
            }
        }
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.lost_hosts.remove(&host);
        let losses = state.pool.remembered_losses(now);
        if takes_losses {
            for frame in Frame::report_losses(&losses, takes_doubtful_losses) {
                // The queue of a new link has room.
                let _ = peer.outbox.send(frame);
            }
        }
        state.peers.insert(host.clone(), peer);
        state.hosts.insert(host.clone(), record);
        self.event_log.peer_found(&host);
        Some(link_number)
    }

    /// Returns whether there is a link to the process that identifies itself by `hello`.
    pub(super) fn is_linked_to(&self, hello: &Hello) -> bool {
        let state = self.state.borrow();
        let peer = state.peers.get(&Host::new(&hello.name));
        peer.is_some_and(|peer| peer.incarnation == hello.incarnation)
    }

    /// Returns whether the link with this number is still the one to a host.
    fn is_current_link(&self, host: &Host, link: u64) -> bool {
        self.state.borrow().peers.get(host).is_some_and(|peer| peer.link_number == link)
    }

    /// Removes the link with this number, unless another link to the host has replaced it. Jobs
    /// that were handed over on it, in either direction, end.
    pub(super) fn remove_peer(self: &Rc<Self>, host: &Host, link: u64, why: &str) {
        let now = self.now();
        if !self.is_current_link(host, link) {
            return;
        }
        let (peer_jobs, remote_jobs, has_dispatched, takes_rosters) = {
            let mut state = self.state.borrow_mut();
            let is_needed = state.peers.get(host).is_some_and(|peer| {
                let relation =
                    state.link_relation(&self.record, &peer.record, &self.seeds.borrow());
                relation.needs_link(state.hosts.len())
            });
            let Some(peer) = state.peers.remove(host) else { return };
            if is_needed && !peer.leaving {
                state.note_lost_host(host, now);
            }
            state.owners_stale = true;
            let call_numbers: Vec<u64> = state
                .remote_jobs
                .iter()
                .filter(|(_, job)| job.host == *host)
                .map(|(number, _)| *number)
                .collect();
            let remote_jobs: Vec<_> = call_numbers
                .into_iter()
                .filter_map(|number| state.remote_jobs.remove(&number))
                .collect();
            let has_dispatched = peer.is_dispatcher() && !peer.leaving;
            (peer.jobs, remote_jobs, has_dispatched, peer.takes_rosters)
        };
        self.event_log.peer_lost(host, why, peer_jobs.len(), remote_jobs.len());
        self.update_competitors();
        for job in remote_jobs {
            // The text is also used if the link was replaced or failed and the peer still runs. The
            // caller may have disconnected; then the outcome is discarded.
            let _ = job.reply.send(Outcome::MayHaveRun("its dispatcher is gone"));
        }
        {
            let mut state = self.state.borrow_mut();
            state.pool.end_orphaned_jobs(peer_jobs.into_values(), now);
            // Whether it has failed or not, nobody follows its runs on upstreams of this host.
            state.pool.on_host_lost(host, has_dispatched, now);
            if !takes_rosters {
                state.pool.expire_foreign_runs(now);
            }
        }
        self.run_effects();
        self.wake_owners.notify_one();
    }

    /// Records the state and load of a peer. Requests its items if its configuration is of a newer
    /// version, or it knows a newer request of the operators. A host that follows the whole store also requests them if the store has failed
    /// recently and the peer's revision is newer. [`CatchUp`] may delay the request.
    ///
    /// [`CatchUp`]: heathertrack::membership::CatchUp
    pub(super) fn handle_heartbeat(self: &Rc<Self>, host: &Host, heartbeat: &Heartbeat) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let follows_all = state.mirror_scope() == MirrorScope::All;
        // Revision of the store up to which this host has the items that it follows.
        let own_revision =
            if follows_all { state.mirror.revision() } else { state.configuration_revision };
        let configuration_version = state.version();
        // What the store has told this host up to a revision lacks nothing of the operators.
        let operator_revision = state.operator_revision.max(state.configuration_revision);
        let is_store_failing =
            state.last_store_failure.is_some_and(|failed| now.since(failed) < STORE_FAILURE_WINDOW);
        let Some(peer) = state.peers.get_mut(host) else { return };
        let changed = !peer.has_reported
            || peer.is_starting != heartbeat.is_starting
            || peer.leaving != heartbeat.leaving
            || peer.dispatches_own_centre != heartbeat.dispatches;
        peer.has_reported = true;
        peer.is_starting = heartbeat.is_starting;
        peer.leaving = heartbeat.leaving;
        peer.dispatches_own_centre = heartbeat.dispatches;
        peer.owns_upstreams = heartbeat.owns_upstreams;
        peer.has_jobs = heartbeat.has_jobs;
        peer.load = heartbeat.load();
        // Counts only the jobs that were handed to the peer since this heartbeat.
        peer.handed_cores = 0.0;
        let is_same_centre = peer.record.data_centre == self.record.data_centre;
        let outbox = peer.outbox.clone();
        let has_newer = heartbeat.version > configuration_version
            || heartbeat.operator_revision > operator_revision
            || (follows_all && is_store_failing && heartbeat.revision > own_revision);
        if has_newer
            && state.catch_up.should_ask(is_store_failing, is_same_centre, now)
            && outbox.send(Frame::RequestItems { after: own_revision, all: follows_all }).is_err()
        {
            // The send queue is full, or closed because the link has ended.
            self.event_log.link_full(host);
        }
        if changed {
            state.owners_stale = true;
            self.wake_owners.notify_one();
        }
    }

    /// Submits a peer's job to the pool. One that is read from a link after its end isn't run: the end
    /// has ended the jobs of that link, and the peer has given this one up.
    pub(super) fn handle_submit(
        self: &Rc<Self>,
        host: &Host,
        link_number: u64,
        submit: Submit,
        transit_time: Duration,
    ) {
        // First, as it ends all links if this process was suspended.
        let now = self.now();
        if !self.is_current_link(host, link_number) {
            return;
        }
        let call = submit.call;
        if transit_time > MAX_SUBMIT_TRANSIT_TIME {
            let why = "the message was under way for too long";
            let outcome = (&Outcome::NotRun { retry_after: RETRY_AFTER, why }).into();
            self.send_to(host, Frame::Ended { call, how: outcome });
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
        self.run_effects();
    }

    /// Cancels a peer's job in the pool.
    pub(super) fn handle_cancel(self: &Rc<Self>, host: &Host, call: u64) {
        let job = {
            let mut state = self.state.borrow_mut();
            state.peers.get_mut(host).and_then(|peer| peer.jobs.remove(&call))
        };
        if let Some(job) = job {
            self.state.borrow_mut().replies.remove(&job);
            self.with_pool(|pool, now| pool.cancel(job, now));
        }
    }

    /// Sends a peer the items that changed after a revision: all of them, or those of the operators
    /// only.
    pub(super) fn handle_items_request(&self, host: &Host, after: u64, all: bool) {
        let changes = self.state.borrow().mirror.changes_after(after);
        let key_kind = |item: &&Item| self.environment.metadata_store().key_kind(&item.key);
        let wanted = |item: &&Item| all || key_kind(item).is_operators();
        let items = changes.items.iter().filter(wanted).map(ItemWire::from).collect();
        // Without the other items, the answer must not advance the revision of the peer's mirror.
        let revision = if all { changes.revision } else { 0 };
        self.send_to(host, Frame::Items { items, revision });
    }

    /// Takes upstreams over from a peer that has released them.
    pub(super) fn handle_handover(self: &Rc<Self>, upstreams: Vec<String>) {
        self.with_pool(|pool, now| {
            for name in upstreams {
                pool.on_handover(&Upstream::new(name), now);
            }
        });
    }

    /// Records which runs a peer follows on upstreams of this host. Rosters that are read from a link
    /// after its end don't count: the peer's process may be gone.
    pub(super) fn handle_rosters(
        self: &Rc<Self>,
        host: &Host,
        link_number: u64,
        rosters: Vec<RosterWire>,
    ) {
        if !self.is_current_link(host, link_number) {
            return;
        }
        let rosters: Vec<Roster> = rosters.into_iter().map(Roster::from).collect();
        let received: Vec<&Roster> = rosters.iter().collect();
        self.event_log.rosters_received(host, link_number, &received);
        self.with_pool(|pool, now| {
            for roster in rosters {
                pool.on_roster(host, roster, now);
            }
        });
    }

    /// Records runs that were lost at another dispatcher.
    pub(super) fn handle_losses(self: &Rc<Self>, losses: Vec<LossWire>, are_doubtful: bool) {
        self.with_pool(|pool, now| {
            for loss in losses {
                pool.on_loss_report(&loss.into_loss(are_doubtful), now);
            }
        });
    }

    /// Queues a message for a peer, if it still has a link.
    pub(in crate::entry) fn send_to(&self, host: &Host, frame: Frame) {
        let state = self.state.borrow();
        let Some(peer) = state.peers.get(host) else { return };
        if peer.outbox.send(frame).is_err() {
            self.event_log.link_full(host);
        }
    }
}
