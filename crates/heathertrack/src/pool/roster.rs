//! Runs that other live hosts follow to their end on upstreams of this dispatcher.

use super::Task;
use crate::clock::Time;
use crate::name;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of upstreams and runs, together, that are kept for one host: the runs of a host
/// that owned 1,000 upstreams with 30 tasks each. Runs beyond it count as strays, which is safe.
const MAX_ENTRIES_PER_HOST: usize = 32_000;
/// Time after its receipt in which a run may be absent from a list although it is on a roster: its
/// start may still be on the way, until the end of the lease that it carries.
const MAX_START_DELAY: Duration = Duration::from_secs(2);

/// A run of a task: the task and the number of the run.
pub type Entry = (Task, u32);

/// The runs that a host follows on an upstream that it no longer owns. Its renewals are left to the
/// owner, which renews only as long as the host has a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    /// The upstream.
    pub upstream: name::Upstream,
    /// The runs. The host starts nothing more there.
    pub runs: BTreeSet<Entry>,
}

#[derive(Debug)]
struct Received {
    runs: BTreeSet<Entry>,
    at: Time,
}

/// The rosters of one host.
#[derive(Debug, Default)]
struct HostRosters {
    by_upstream: BTreeMap<name::Upstream, Received>,
    /// Number of upstreams and runs, together.
    entries: usize,
}

impl HostRosters {
    fn remove(&mut self, upstream: &name::Upstream) {
        if let Some(removed) = self.by_upstream.remove(upstream) {
            self.entries -= 1 + removed.runs.len();
        }
    }
}

/// The rosters of all hosts that have a link.
#[derive(Debug, Default)]
pub(super) struct Rosters {
    by_host: BTreeMap<name::Host, HostRosters>,
}

impl Rosters {
    /// Replaces the roster of a host for an upstream.
    pub fn replace(&mut self, host: &name::Host, roster: Roster, now: Time) {
        let Roster { upstream, mut runs } = roster;
        let rosters = self.by_host.entry(host.clone()).or_default();
        rosters.remove(&upstream);
        let room = MAX_ENTRIES_PER_HOST.saturating_sub(rosters.entries + 1);
        while runs.len() > room {
            runs.pop_last();
        }
        if !runs.is_empty() {
            rosters.entries += 1 + runs.len();
            rosters.by_upstream.insert(upstream, Received { runs, at: now });
        }
    }

    /// Removes the rosters of a host. Returns whether there were any.
    pub fn remove(&mut self, host: &name::Host) -> bool {
        self.by_host.remove(host).is_some_and(|rosters| rosters.entries > 0)
    }

    /// Removes all rosters.
    pub fn clear(&mut self) {
        self.by_host.clear();
    }

    /// Returns whether a live host follows a run on an upstream.
    pub fn contains(&self, upstream: &name::Upstream, run: &Entry) -> bool {
        self.of(upstream).any(|received| received.runs.contains(run))
    }

    /// Returns whether a live host follows any run on an upstream.
    pub fn has_any(&self, upstream: &name::Upstream) -> bool {
        self.of(upstream).next().is_some()
    }

    /// Returns how many runs on an upstream each host follows.
    pub fn counts(&self, upstream: &name::Upstream) -> Vec<(name::Host, usize)> {
        let count = |(host, rosters): (&name::Host, &HostRosters)| {
            Some((host.clone(), rosters.by_upstream.get(upstream)?.runs.len()))
        };
        self.by_host.iter().filter_map(count).collect()
    }

    fn of(&self, upstream: &name::Upstream) -> impl Iterator<Item = &Received> {
        self.by_host.values().filter_map(move |rosters| rosters.by_upstream.get(upstream))
    }

    /// Removes the runs that are absent from the upstream's list and can't begin any more.
    pub fn retain_listed(&mut self, upstream: &name::Upstream, listed: &[Entry], now: Time) {
        for rosters in self.by_host.values_mut() {
            let Some(received) = rosters.by_upstream.get_mut(upstream) else { continue };
            if now.since(received.at) > MAX_START_DELAY {
                let before = received.runs.len();
                received.runs.retain(|run| listed.contains(run));
                rosters.entries -= before - received.runs.len();
                if received.runs.is_empty() {
                    rosters.remove(upstream);
                }
            }
        }
    }
}
