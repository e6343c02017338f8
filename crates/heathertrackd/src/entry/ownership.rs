//! Assignment of upstreams to dispatchers.

use super::frame::{Frame, RosterWire};
use super::metrics;
use super::node::{EntryHost, Environment};
use super::state::{HeldRoster, MAX_READ_INTERVAL, Peer, State};
use heathertrack::clock::Time;
use heathertrack::name::{DataCentre, Host, Upstream};
use heathertrack::pool::{Candidate, Roster, choose_dispatchers, owner, startup_grace};
use heathertrack_platform::HostRecord;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Time for which a data centre has no live host before hosts of other data centres take over its
/// upstreams. A process that was killed restarts sooner.
const CENTRE_TAKEOVER_DELAY: Duration = Duration::from_millis(1_200);
/// Time for which an upstream is kept without a record after an outage of the store. The records
/// are back within about two seconds.
const MISSING_RECORD_GRACE: Duration = Duration::from_millis(2_500);
/// Time after a failed read of the store in which a record may go missing because of an outage: the
/// store may have returned as late as the next read, and upstreams register again within the grace.
const OUTAGE_AFTEREFFECT: Duration = MAX_READ_INTERVAL.saturating_add(MISSING_RECORD_GRACE);

/// Pause between two assignments that changes of peers cause. An assignment takes a few milliseconds on
/// a small host with a thousand upstreams, and peers come in hundreds: all hosts dial a new
/// dispatcher at once.
const CHANGES_PAUSE: Duration = Duration::from_millis(20);

/// Starts the task that reassigns upstreams after changes of peers.
pub fn spawn<E: Environment>(entry: &Rc<EntryHost<E>>) {
    spawn_local(run(entry.clone()));
}

async fn run<E: Environment>(entry: Rc<EntryHost<E>>) {
    loop {
        entry.wake_owners.notified().await;
        entry.update_owners();
        sleep(CHANGES_PAUSE).await;
    }
}

/// Rosters of this host's runs by the hosts that they are for.
type Rosters = BTreeMap<Host, BTreeMap<Upstream, Roster>>;

/// Result of one assignment of all upstreams.
struct Assignment {
    /// Number of upstreams that are assigned to this host.
    assigned: usize,
    /// Number of those whose current records it has read.
    owned: usize,
    /// Dispatchers of all data centres.
    dispatchers: Vec<Host>,
    /// Names of the upstreams that this host owned until now, by their next owner.
    handovers: BTreeMap<Host, Vec<String>>,
    /// This host's runs on upstreams that others own, or owned before and may still renew, by these
    /// hosts.
    rosters: Rosters,
}

impl<E: Environment> EntryHost<E> {
    /// Reassigns all upstreams to dispatchers if the assignment may have changed.
    pub(super) fn update_owners(self: &Rc<Self>) {
        let now = self.now();
        let (handovers, rosters) = {
            let mut state = self.state.borrow_mut();
            if state.pool.take_has_stale_rosters() {
                let held = state.roster_holders.values_mut().flat_map(BTreeMap::values_mut);
                held.for_each(|roster| roster.is_stale = true);
                state.owners_stale = true;
            }
            state.remove_missing_upstreams(now);
            state.update_has_started(now);
            if !state.owners_stale || state.waits_for_links(&self.record, &self.seeds.borrow(), now)
            {
                return;
            }
            state.owners_stale = false;
            metrics::upstreams_assigned();
            let candidates = self.candidates(&state, now);
            let assignment = state.assign_upstreams(&self.record, &candidates, now);
            state.report_missing_to_pool(now);
            let Assignment { assigned, owned, dispatchers, handovers, rosters } = assignment;
            if state.dispatchers != dispatchers {
                self.event_log.owners_changed(owned, state.upstreams.len(), candidates.len());
            }
            if assigned > 0 && !state.has_assigned_upstreams {
                self.wake_follower.notify_one();
            }
            state.has_assigned_upstreams = assigned > 0;
            // Upstreams that are assigned to this host but not yet owned are taken over as soon as
            // their records have been read.
            state.owners_stale |= assigned > owned;
            state.dispatchers = dispatchers;
            state.owned_upstreams = owned;
            (handovers, rosters)
        };
        self.send_handovers(handovers);
        self.send_rosters(rosters);
        self.update_competitors();
        self.run_effects();
    }

    /// Tells the next owners of released upstreams which runs this host follows there, so that they
    /// need not wait for these, and tells former owners which ones it no longer follows. An owner
    /// without a link waits until the runs have ended.
    fn send_rosters(&self, rosters: Rosters) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        for (host, mut rosters) in rosters {
            let Some(peer) = state.peers.get(&host).filter(|peer| peer.takes_rosters) else {
                continue;
            };
            let link = peer.link_number;
            rosters.retain(|upstream, roster| {
                let held = state.held_roster(upstream, &host);
                held.is_none_or(|held| held.is_outdated(link, roster))
            });
            if rosters.is_empty() {
                continue;
            }
            let is_changed =
                rosters.keys().any(|upstream| state.held_roster(upstream, &host).is_some());
            let wire = rosters.values().map(RosterWire::from).collect();
            if peer.outbox.send(Frame::Rosters { rosters: wire }).is_err() {
                self.event_log.link_full(&host);
                continue;
            }
            let sent: Vec<&Roster> = rosters.values().collect();
            self.event_log.rosters_sent(&host, link, &sent, is_changed);
            for (upstream, Roster { runs, .. }) in rosters {
                let holders = state.roster_holders.entry(upstream).or_default();
                holders.insert(host.clone(), HeldRoster { link, is_stale: false, runs });
            }
        }
    }

    /// Does the same for next owners of an earlier release.
    fn send_handovers(&self, handovers: BTreeMap<Host, Vec<String>>) {
        for (host, upstreams) in handovers {
            let takes_handovers = self
                .state
                .borrow()
                .peers
                .get(&host)
                .is_some_and(|peer| peer.takes_handovers && !peer.takes_rosters);
            if takes_handovers {
                self.send_to(&host, Frame::Handover { upstreams });
            }
        }
    }

    /// Updates whether a competing dispatcher may exist: a host without a link that could dispatch
    /// to the upstreams of this host.
    pub(super) fn update_competitors(&self) {
        let mut state = self.state.borrow_mut();
        let has_competitors = state.owned_upstreams > 0
            && !state.is_linked(&self.record, &self.seeds.borrow(), |_| true);
        if state.pool.set_has_competitors(has_competitors) {
            self.event_log.competitors_changed(
                has_competitors,
                state.hosts.len(),
                state.peers.len(),
            );
        }
    }

    /// Returns the live hosts that are not leaving, sorted by name.
    fn candidates(&self, state: &State, now: Time) -> Vec<Candidate> {
        let own = (!state.leaving).then(|| Candidate {
            host: self.record.name.clone(),
            data_centre: self.record.data_centre.clone(),
            cpu_share: self.record.cpu_share,
            incumbent: state.pool.owns_any_of(&self.record.data_centre, now),
        });
        let peers = state.peers.values().filter(|peer| peer.has_reported && !peer.leaving);
        let peers = peers.map(|peer| Candidate {
            host: peer.record.name.clone(),
            data_centre: peer.record.data_centre.clone(),
            cpu_share: peer.record.cpu_share,
            incumbent: peer.dispatches_own_centre,
        });
        let mut candidates: Vec<Candidate> = own.into_iter().chain(peers).collect();
        candidates.sort_by(|one, other| one.host.cmp(&other.host));
        candidates
    }
}

/// Returns the hosts that may take over a data centre without a live host: those that already
/// dispatch, because all other hosts have links to them and so agree on which of them are live; all
/// hosts if none dispatches.
fn takeover_candidates(candidates: &[Candidate]) -> Vec<Candidate> {
    let incumbents: Vec<Candidate> =
        candidates.iter().filter(|candidate| candidate.incumbent).cloned().collect();
    if incumbents.is_empty() { candidates.to_vec() } else { incumbents }
}

impl State {
    /// Returns whether this host knows the other hosts only since a moment ago, and still lacks a
    /// link that it needs, or the first heartbeat on it.
    fn waits_for_links(&self, own: &HostRecord, seeds: &[SocketAddr], now: Time) -> bool {
        let neighbours = self.hosts.values().filter(|host| host.data_centre == own.data_centre);
        let grace = startup_grace(own.cpu_share, neighbours.map(|host| host.cpu_share));
        let has_reported = |peer: &Peer| peer.has_reported;
        now < self.directory_read.unwrap_or(Time::ZERO) + grace
            && !self.is_linked(own, seeds, has_reported)
    }

    /// Returns whether every needed link is up and fulfils the condition.
    fn is_linked(
        &self,
        own: &HostRecord,
        seeds: &[SocketAddr],
        condition: impl Fn(&Peer) -> bool,
    ) -> bool {
        self.hosts.values().all(|host| {
            host.name == own.name
                || host.peers == own.peers
                || match self.peers.get(&host.name) {
                    Some(peer) => condition(peer),
                    None => self.is_reached(host),
                }
                || !self.link_relation(own, host, seeds).needs_link(self.hosts.len())
        })
    }

    /// Returns the hosts from which the dispatchers of a data centre are chosen: its own hosts or,
    /// after it has had none for [`CENTRE_TAKEOVER_DELAY`], hosts of other data centres. These take
    /// over at once if the last host of the data centre is about to stop, and keep its upstreams
    /// until one of its hosts can dispatch.
    fn dispatcher_candidates(
        &mut self,
        centre: &DataCentre,
        own: &HostRecord,
        candidates: &[Candidate],
        now: Time,
    ) -> Vec<Candidate> {
        let is_in_centre = |candidate: &&Candidate| candidate.data_centre == *centre;
        let mut hosts: Vec<Candidate> = candidates.iter().filter(is_in_centre).cloned().collect();
        // A host that can't dispatch yet would leave its upstreams idle, so it gets none that others
        // dispatch to.
        let is_starting = |candidate: &Candidate| {
            self.peers.get(&candidate.host).is_some_and(|peer| peer.is_starting)
        };
        let owns_some = self.pool.owns_any_of(centre, now);
        if owns_some || hosts.iter().any(|host| host.incumbent && !is_starting(host)) {
            hosts.retain(|host| !is_starting(host));
        }
        if !hosts.is_empty() {
            self.unattended_centres.remove(centre);
            return hosts;
        }
        let since = *self.unattended_centres.entry(centre.clone()).or_insert(now);
        let takes_over = owns_some || self.has_leaving_host(own, centre);
        if now.since(since) < CENTRE_TAKEOVER_DELAY && !takes_over {
            // The assignment is computed again until the delay is over.
            self.owners_stale = true;
            return hosts;
        }
        takeover_candidates(candidates)
    }

    /// Returns whether a live host of a data centre is about to stop.
    fn has_leaving_host(&self, own: &HostRecord, centre: &DataCentre) -> bool {
        let mut peers = self.peers.values();
        (self.leaving && own.data_centre == *centre)
            || peers.any(|peer| peer.leaving && peer.record.data_centre == *centre)
    }

    /// Assigns every upstream to a dispatcher, and tells the pool which of them this host owns.
    fn assign_upstreams(
        &mut self,
        own: &HostRecord,
        candidates: &[Candidate],
        now: Time,
    ) -> Assignment {
        let has_current_records = self.has_current_records(now);
        self.pool.set_has_peers(candidates.len() > 1);
        let (mut assigned, mut owned) = (0, 0);
        let mut dispatchers: Vec<Host> = Vec::new();
        let mut handovers: BTreeMap<Host, Vec<String>> = BTreeMap::new();
        let mut rosters = Rosters::new();
        for (centre, upstreams) in self.upstreams_by_centre() {
            let hosts = self.dispatcher_candidates(&centre, own, candidates, now);
            let centre_dispatchers = choose_dispatchers(&centre, upstreams.len(), &hosts);
            for name in upstreams {
                let new_owner = owner(&name, &centre_dispatchers);
                let is_assigned = new_owner == Some(&own.name);
                let is_owned = is_assigned && has_current_records;
                assigned += usize::from(is_assigned);
                owned += usize::from(is_owned);
                if let Some(new_owner) = new_owner.filter(|_| !is_assigned)
                    && self.pool.owns(&name)
                {
                    handovers.entry(new_owner.clone()).or_default().push(name.to_string());
                }
                if let Some(record) = self.upstreams.get(&name).cloned() {
                    self.pool.update_upstream(record, is_owned, now);
                }
                if let Some(new_owner) = new_owner.filter(|_| !is_assigned)
                    && let Some(roster) = self.pool.roster(&name)
                {
                    rosters.entry(new_owner.clone()).or_default().insert(name.clone(), roster);
                }
            }
            for host in centre_dispatchers {
                if !dispatchers.contains(&host) {
                    dispatchers.push(host);
                }
            }
        }
        self.add_stale_rosters(&mut rosters);
        Assignment { assigned, owned, dispatchers, handovers, rosters }
    }

    /// Returns the roster of this host's runs on an upstream that a peer holds.
    fn held_roster(&self, upstream: &Upstream, peer: &Host) -> Option<&HeldRoster> {
        self.roster_holders.get(upstream)?.get(peer)
    }

    /// Adds the rosters that have changed for those of their holders that aren't sent them as owners.
    /// Such a host may not know yet that the upstream has passed on, or its record is gone, so that it
    /// is assigned to nobody while its owner goes on renewing the leases there.
    fn add_stale_rosters(&mut self, rosters: &mut Rosters) {
        let peers = &self.peers;
        let is_linked = |host: &Host, held: &HeldRoster| {
            peers.get(host).is_some_and(|peer| peer.link_number == held.link)
        };
        self.roster_holders.retain(|name, holders| {
            holders.retain(|host, held| is_linked(host, held));
            let Some(roster) = self.pool.roster(name) else { return false };
            for (host, _) in holders.iter().filter(|(_, held)| held.is_stale) {
                rosters.entry(host.clone()).or_default().insert(name.clone(), roster.clone());
            }
            !holders.is_empty()
        });
    }

    /// Returns the names of the known upstreams for each data centre.
    fn upstreams_by_centre(&self) -> BTreeMap<DataCentre, Vec<Upstream>> {
        let mut centres: BTreeMap<DataCentre, Vec<Upstream>> = BTreeMap::new();
        for (name, record) in &self.upstreams {
            centres.entry(record.data_centre.clone()).or_default().push(name.clone());
        }
        centres
    }

    /// Removes upstreams whose records are missing: those that went missing in the
    /// [`OUTAGE_AFTEREFFECT`] of a failure of the store if they have been missing, and the store has
    /// not failed, for [`MISSING_RECORD_GRACE`], and others at once.
    fn remove_missing_upstreams(&mut self, now: Time) {
        let last_failure = self.last_store_failure;
        let (expired, kept): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut self.missing_upstreams).into_iter().partition(|(_, since)| {
                last_failure.is_none_or(|failed| {
                    since.since(failed) >= OUTAGE_AFTEREFFECT
                        || now.since(failed.max(*since)) >= MISSING_RECORD_GRACE
                })
            });
        self.missing_upstreams = kept;
        for name in expired.into_keys() {
            self.upstreams.remove(&name);
            self.owners_stale = true;
        }
    }

    /// Tells the pool which of its upstreams no longer have a record.
    fn report_missing_to_pool(&mut self, now: Time) {
        let known: Vec<Upstream> = self.pool.upstream_names().cloned().collect();
        for name in known.iter().filter(|name| !self.upstreams.contains_key(*name)) {
            self.pool.on_record_lost(name, now);
        }
    }
}
