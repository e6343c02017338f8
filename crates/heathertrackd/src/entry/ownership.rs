//! Assignment of upstreams to dispatchers.

use super::node::{Entry, Environment};
use super::state::State;
use heathertrack::clock::Time;
use heathertrack::name::{DataCentre, Upstream};
use heathertrack::pool::{Candidate, dispatchers, owner};
use heathertrack_platform::HostRecord;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time after the start within which links to all known hosts should be up. Until then, a host with
/// missing links does not assign upstreams, because it could wrongly take itself for the only live
/// host.
const SETTLING: Duration = Duration::from_millis(250);
/// Time for which a data centre has no live host before hosts of other data centres take over its
/// upstreams. A process that was killed restarts sooner.
const DESERTED: Duration = Duration::from_millis(1_200);
/// Time for which an upstream is kept without a record after an outage of the store (the users'
/// pages: records are back within about two seconds).
const RECORD_GRACE: Duration = Duration::from_millis(2_500);

impl<E: Environment> Entry<E> {
    /// Reassigns all upstreams to dispatchers if the assignment may have changed.
    pub(super) fn update_owners(self: &Rc<Self>) {
        let now = self.now();
        {
            let mut state = self.state.borrow_mut();
            state.drop_missing(now);
            if !state.owners_stale || state.is_settling(&self.record, &self.seeds.borrow(), now) {
                return;
            }
            state.owners_stale = false;
            let candidates = self.candidates(&state);
            let by_centre = state.upstreams_by_centre();
            let knows = state.knows_upstreams(now);
            let mut wanted = 0;
            let mut owned = 0;
            let mut dispatches = false;
            let mut all = Vec::new();
            for (centre, upstreams) in by_centre {
                let hosts = state.hosts_for(&centre, &candidates, now);
                let chosen = dispatchers(&centre, upstreams.len(), &hosts);
                for name in upstreams {
                    let mine = owner(&name, &chosen) == Some(&self.record.name);
                    wanted += usize::from(mine);
                    let mine = mine && knows;
                    owned += usize::from(mine);
                    dispatches |= mine && centre == self.record.data_centre;
                    if let Some(record) = state.upstreams.get(&name).cloned() {
                        state.pool.know(record, mine, now);
                    }
                }
                for host in chosen {
                    if !all.contains(&host) {
                        all.push(host);
                    }
                }
            }
            state.forget_unrecorded(now);
            if state.dispatchers != all {
                self.journal.owners(owned, state.upstreams.len(), candidates.len());
            }
            if wanted > 0 && !state.wants_upstreams {
                self.follow_more.notify_one();
            }
            state.wants_upstreams = wanted > 0;
            // Upstreams that are assigned to this host but not yet owned are taken over as soon as
            // their records have been read.
            state.owners_stale |= wanted > owned;
            state.dispatchers = all;
            state.dispatches = dispatches;
            state.owned = owned;
        }
        self.note_rivals();
        self.carry_out();
    }

    /// Updates whether a rival may exist: a host without a link that could dispatch to the
    /// upstreams of this host.
    pub(super) fn note_rivals(&self) {
        let mut state = self.state.borrow_mut();
        let has_rivals = state.owned > 0 && !state.is_linked(&self.record, &self.seeds.borrow());
        if state.pool.set_rivals(has_rivals) {
            self.journal.rivals(has_rivals, state.hosts.len(), state.peers.len());
        }
    }

    fn candidates(&self, state: &State) -> Vec<Candidate> {
        let own = (!state.leaving).then(|| Candidate {
            host: self.record.name.clone(),
            data_centre: self.record.data_centre.clone(),
            cpu_share: self.record.cpu_share,
            incumbent: state.dispatches,
        });
        let peers = state.peers.values().filter(|peer| !peer.leaving);
        let peers = peers.map(|peer| Candidate {
            host: peer.record.name.clone(),
            data_centre: peer.record.data_centre.clone(),
            cpu_share: peer.record.cpu_share,
            incumbent: peer.dispatches,
        });
        let mut candidates: Vec<Candidate> = own.into_iter().chain(peers).collect();
        candidates.sort_by(|one, other| one.host.cmp(&other.host));
        candidates
    }
}

/// Returns the hosts that may take over a data centre without a live host: those that already
/// dispatch, because all other hosts have links to them and so agree on which of them are live; all
/// hosts if none dispatches.
fn successors(candidates: &[Candidate]) -> Vec<Candidate> {
    let dispatch: Vec<Candidate> =
        candidates.iter().filter(|candidate| candidate.incumbent).cloned().collect();
    if dispatch.is_empty() { candidates.to_vec() } else { dispatch }
}

impl State {
    /// Returns whether this host has just started and still lacks a link that it needs.
    fn is_settling(&self, own: &HostRecord, seeds: &[SocketAddr], now: Time) -> bool {
        now < Time::ZERO + SETTLING && !self.is_linked(own, seeds)
    }

    /// Returns whether every needed link is up.
    fn is_linked(&self, own: &HostRecord, seeds: &[SocketAddr]) -> bool {
        self.hosts.values().all(|host| {
            host.name == own.name
                || self.peers.contains_key(&host.name)
                || !self.bond(own, host, seeds).is_wanted(self.hosts.len())
        })
    }

    /// Returns the hosts from which the dispatchers of a data centre are chosen: its own hosts or,
    /// after it has had no live host for [`DESERTED`], hosts of other data centres.
    fn hosts_for(
        &mut self,
        centre: &DataCentre,
        candidates: &[Candidate],
        now: Time,
    ) -> Vec<Candidate> {
        let near = |candidate: &&Candidate| candidate.data_centre == *centre;
        let hosts: Vec<Candidate> = candidates.iter().filter(near).cloned().collect();
        if !hosts.is_empty() {
            self.deserted.remove(centre);
            return hosts;
        }
        let since = *self.deserted.entry(centre.clone()).or_insert(now);
        if now.since(since) < DESERTED {
            self.owners_stale = true;
            return hosts;
        }
        successors(candidates)
    }

    fn upstreams_by_centre(&self) -> BTreeMap<DataCentre, Vec<Upstream>> {
        let mut centres: BTreeMap<DataCentre, Vec<Upstream>> = BTreeMap::new();
        for (name, record) in &self.upstreams {
            centres.entry(record.data_centre.clone()).or_default().push(name.clone());
        }
        centres
    }

    /// Removes upstreams whose records have been missing for too long.
    fn drop_missing(&mut self, now: Time) {
        let failed = self.store_failed;
        let (gone, kept): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut self.missing).into_iter().partition(|(_, since)| {
                let outage = failed.is_some_and(|failed| now.since(failed) < RECORD_GRACE);
                !outage && now.since(*since) >= RECORD_GRACE || failed.is_none()
            });
        self.missing = kept;
        for name in gone.into_keys() {
            self.upstreams.remove(&name);
            self.owners_stale = true;
        }
    }

    fn forget_unrecorded(&mut self, now: Time) {
        let known: Vec<Upstream> = self.pool.known().cloned().collect();
        for name in known.iter().filter(|name| !self.upstreams.contains_key(*name)) {
            self.pool.missing(name, now);
        }
    }
}
