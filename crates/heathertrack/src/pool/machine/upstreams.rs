use super::Pool;
use crate::clock::Time;
use crate::name;
use crate::pool::upstream::{Ownership, Record, SLOW_CLOCK_FACTOR, Upstream};
use crate::pool::{Decision, Effect, Roster, UpstreamKey};
use std::time::Duration;

/// Time for which a handover is remembered until the upstream is assigned to this dispatcher. Hosts
/// learn of each other's start and end at slightly different times.
const HANDOVER_MEMORY: Duration = Duration::from_millis(500);

/// Longest time by which a live host learns later than another that an upstream has passed on: the
/// longest pause between two reads of the store (1 s), the read, and its handling on a busy host.
const MAX_VIEW_DELAY: Duration = Duration::from_millis(1_500);

impl Pool {
    /// Sets whether there are other hosts that may have owned an upstream which passes to this
    /// dispatcher.
    pub fn set_has_peers(&mut self, has_peers: bool) {
        self.has_peers = has_peers;
    }

    /// Updates an upstream from its record and from whether this dispatcher owns it. An unknown
    /// upstream is added only if it is owned.
    pub fn update_upstream(&mut self, record: Record, owned: bool, now: Time) {
        let known_key = self.upstreams_by_name.get(&record.name).copied();
        if known_key.is_none() && !owned {
            return;
        }
        let key = known_key.unwrap_or_else(|| {
            let name = record.name.clone();
            let key = self.upstreams.insert(Upstream::new(record.clone(), now));
            self.upstreams_by_name.insert(name, key);
            key
        });
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        if upstream.is_contradicted_by(&record) {
            self.set_owned(key, owned, now);
            self.on_record_missing(key, "record names another address", now);
            return;
        }
        let has_restarted = record.started_ms.is_some()
            && upstream.started_ms.is_some()
            && record.started_ms > upstream.started_ms;
        let was_draining = upstream.record.draining;
        upstream.set_record(record, now);
        upstream.is_evacuated = self.evacuated.contains(&upstream.record.data_centre);
        upstream.missing_since = None;
        upstream.restart_announced |= has_restarted;
        if upstream.record.draining && !was_draining {
            self.log_upstream_state(key, "drains", now);
        }
        self.set_owned(key, owned, now);
        if has_restarted {
            self.poll_soon(key, now);
        }
    }

    fn set_owned(&mut self, key: UpstreamKey, owned: bool, now: Time) {
        let max_lease = self.options.lease.mul_f64(SLOW_CLOCK_FACTOR);
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        match (owned, upstream.ownership) {
            (true, Ownership::Released) => {
                upstream.ownership = Ownership::Acquiring;
                if self.has_peers {
                    upstream.former_owner_until = now + MAX_VIEW_DELAY + max_lease;
                }
                upstream.foreign.listed_since = None;
                let handed_over_at = self.handovers.remove(&upstream.record.name);
                if handed_over_at.is_some_and(|at| now.since(at) < HANDOVER_MEMORY) {
                    upstream.foreign.inherits_until = now + max_lease;
                }
                upstream.poll_due = now;
                self.find_strays(key);
                self.poll(key, now);
            }
            (false, Ownership::Acquiring | Ownership::Owned) => {
                upstream.ownership = Ownership::Released;
                upstream.has_shared_runs |= !upstream.runs.is_empty();
                // From now on the next owner renews the leases of these runs.
                for run in &upstream.runs {
                    if let Some(run) = self.runs.get_mut(*run) {
                        run.competitor_may_renew = true;
                    }
                }
                self.find_strays(key);
            }
            (true, _) | (false, Ownership::Released) => {}
        }
    }

    /// Returns whether this dispatcher owns an upstream and renews the leases there.
    pub fn owns(&self, name: &name::Upstream) -> bool {
        let key = self.upstreams_by_name.get(name);
        key.and_then(|key| self.upstreams.get(*key))
            .is_some_and(|upstream| upstream.ownership == Ownership::Owned)
    }

    /// Returns whether this dispatcher follows runs on upstreams that it has released. The owners renew
    /// their leases as long as this host has a link.
    pub fn follows_released_runs(&self) -> bool {
        let is_released = |upstream: &Upstream| upstream.ownership == Ownership::Released;
        self.upstreams.values().any(|upstream| is_released(upstream) && !upstream.runs.is_empty())
    }

    /// Returns whether this dispatcher owns an upstream of a data centre, also one that a host
    /// without a link uses.
    pub fn owns_any_of(&self, data_centre: &name::DataCentre, now: Time) -> bool {
        self.upstreams.values().any(|upstream| {
            upstream.record.data_centre == *data_centre
                && (upstream.ownership == Ownership::Owned || self.is_contested(upstream, now))
        })
    }

    /// Returns the roster of this dispatcher's runs on an upstream whose lease another dispatcher may
    /// renew, the present owner or a former one; `None` if there are no such runs. Runs that are left to
    /// the expiry of their lease are omitted.
    pub fn roster(&self, name: &name::Upstream) -> Option<Roster> {
        let upstream = self.upstreams.get(*self.upstreams_by_name.get(name)?)?;
        let runs = upstream.runs.iter().filter_map(|run| self.runs.get(*run));
        let mut shared = runs.filter(|run| run.competitor_may_renew).peekable();
        shared.peek()?;
        let followed = shared.filter(|run| run.expiring_since.is_none());
        let runs = followed.map(|run| (run.task.clone(), run.number)).collect();
        Some(Roster { upstream: name.clone(), runs })
    }

    /// Returns whether rosters were given away with runs that have to expire by now, so that the
    /// owners need new ones. Returns it once.
    pub fn take_has_stale_rosters(&mut self) -> bool {
        std::mem::take(&mut self.has_stale_rosters)
    }

    /// Handles the roster of a live host, which replaces its former one for the same upstream.
    pub fn on_roster(&mut self, host: &name::Host, roster: Roster, now: Time) {
        let key = self.upstreams_by_name.get(&roster.upstream).copied();
        self.rosters.replace(host, roster, now);
        let Some(key) = key else { return };
        self.find_strays(key);
        self.withhold_renewals(key, now);
        let is_assigned = |upstream: &Upstream| upstream.ownership != Ownership::Released;
        if self.upstreams.get(key).is_some_and(is_assigned) {
            self.poll_soon(key, now);
        }
    }

    /// Handles the loss of the link to a host that has rosters here, or owned upstreams: it may have
    /// failed. No renewal covers its runs any more, and nothing is started beside them until their
    /// absence from a list proves that they have ended.
    pub fn on_host_lost(&mut self, host: &name::Host, has_dispatched: bool, now: Time) {
        let had_rosters = self.rosters.remove(host);
        if had_rosters {
            let dropped = Decision::RostersDropped { host: host.clone() };
            self.effects.push(Effect::Log(dropped));
        }
        if !had_rosters && !has_dispatched {
            return;
        }
        self.doubt_until = now + self.options.lease.mul_f64(SLOW_CLOCK_FACTOR) * 2;
        self.find_all_strays(now);
    }

    fn find_all_strays(&mut self, now: Time) {
        let keys: Vec<UpstreamKey> = self.upstreams.keys().collect();
        for key in keys {
            self.find_strays(key);
            if self.withhold_renewals(key, now) {
                self.poll_soon(key, now);
            }
        }
    }

    /// Handles the message of a live dispatcher of an earlier release that it owned an upstream,
    /// starts nothing there any more and follows its runs to their end. They then don't delay the
    /// acquisition.
    ///
    /// Addresses the load pattern "all hosts start within a second": upstreams pass from the first
    /// hosts to larger ones while jobs wait.
    pub fn on_handover(&mut self, name: &name::Upstream, now: Time) {
        let inheritance_time = self.options.lease.mul_f64(SLOW_CLOCK_FACTOR);
        let key = self.upstreams_by_name.get(name).copied();
        let upstream = key.and_then(|key| Some((key, self.upstreams.get_mut(key)?)));
        match upstream.map(|(key, upstream)| (key, upstream.ownership, upstream)) {
            Some((key, Ownership::Acquiring, upstream)) => {
                upstream.foreign.inherits_until = now + inheritance_time;
                self.poll_soon(key, now);
            }
            Some((_, Ownership::Owned, _)) => {}
            Some((_, Ownership::Released, _)) | None => {
                self.handovers.retain(|_, at| now.since(*at) < HANDOVER_MEMORY);
                self.handovers.insert(name.clone(), now);
            }
        }
    }

    /// Handles the loss of an upstream's record from the store. Nothing more is started there;
    /// current runs are followed to their end.
    pub fn on_record_lost(&mut self, name: &name::Upstream, now: Time) {
        let Some(key) = self.upstreams_by_name.get(name).copied() else { return };
        self.on_record_missing(key, "record is gone from the store", now);
    }

    fn on_record_missing(&mut self, key: UpstreamKey, state: &'static str, now: Time) {
        if let Some(upstream) = self.upstreams.get_mut(key)
            && upstream.missing_since.is_none()
        {
            upstream.missing_since = Some(now);
            self.log_upstream_state(key, state, now);
        }
    }

    /// Returns the name and the address of an upstream.
    pub fn upstream_address(&self, key: UpstreamKey) -> Option<(name::Upstream, String)> {
        let record = &self.upstreams.get(key)?.record;
        Some((record.name.clone(), record.address.clone()))
    }

    /// Iterates over the names of the known upstreams.
    pub fn upstream_names(&self) -> impl Iterator<Item = &name::Upstream> {
        self.upstreams_by_name.keys()
    }

    /// Lets runs of dispatchers of earlier releases expire, as one of these may have failed.
    pub fn expire_foreign_runs(&mut self, now: Time) {
        self.handovers.clear();
        for upstream in self.upstreams.values_mut() {
            upstream.foreign.inherited.clear();
            upstream.foreign.inherits_until = Time::ZERO;
        }
        self.find_all_strays(now);
    }

    /// Removes upstreams that are no longer owned or have lost their record, once they have no runs
    /// and no poll in flight.
    pub(super) fn remove_released(&mut self) {
        let is_unused = |upstream: &Upstream| {
            let released =
                upstream.ownership == Ownership::Released || upstream.missing_since.is_some();
            released && upstream.runs.is_empty() && upstream.polls_in_flight == 0
        };
        let keys: Vec<UpstreamKey> =
            self.upstreams.iter().filter(|(_, u)| is_unused(u)).map(|(key, _)| key).collect();
        for key in keys {
            if let Some(upstream) = self.upstreams.remove(key) {
                self.upstreams_by_name.remove(&upstream.record.name);
            }
        }
    }
}
