//! Load and capacity of a dispatcher.

use super::Dispatcher;
use crate::clock::Time;
use crate::dispatch::{Capacity, Eligibility, FreeSlots, Load, Needs, Spec, Upstream, UpstreamKey};

/// Maximum number of entries in [`Load::capacity`].
const MAX_CAPACITY_ENTRIES: usize = 16;

/// Throughput of an upstream in nominal seconds of work per second; 0 if it gets no ordinary
/// tasks.
fn nominal_rate(upstream: &Upstream, now: Time) -> f64 {
    match upstream.health.eligibility(now) {
        Eligibility::Healthy => f64::from(upstream.spec.slots) / upstream.learned_slowness(),
        _ => 0.0,
    }
}

/// Adds the rate of an upstream to an entry with workers that are no larger, if there is one. Used
/// when there are too many entries for a new one. A larger entry would claim that the upstream can
/// hold tasks that it can't.
fn add_to_smaller(sizes: &mut [Capacity], size: &Needs, rate: f64) {
    if let Some(smaller) = sizes.iter_mut().find(|known| size.holds(&known.size)) {
        smaller.rate += rate;
    }
}

impl<T> Dispatcher<T> {
    /// Returns the current load of this dispatcher.
    pub fn load(&self, now: Time) -> Load {
        let mut free: Vec<FreeSlots> = Vec::new();
        for (_, upstream) in self.healthy(now) {
            let count = upstream.free_slots() as u32;
            if count > 0 {
                let (slowness, free_capacity) = (upstream.slowness(now), upstream.free_capacity());
                free.push(FreeSlots { slowness, count, free_capacity });
            }
        }
        free.sort_by(|a, b| a.slowness.total_cmp(&b.slowness));
        let queued = self.queue.len() as u32;
        Load { free, queued, backlog: self.backlog, capacity: self.capacity(now) }
    }

    /// Capacity of all serving upstreams by size, with at most [`MAX_CAPACITY_ENTRIES`] entries.
    fn capacity(&self, now: Time) -> Vec<Capacity> {
        let mut sizes: Vec<Capacity> = Vec::new();
        for upstream in self.serving() {
            let Spec { size, slots, .. } = upstream.spec;
            let rate = nominal_rate(upstream, now);
            match sizes.iter().position(|known| known.size == size && known.slots == slots) {
                Some(at) => sizes[at].rate += rate,
                None if sizes.len() < MAX_CAPACITY_ENTRIES => {
                    sizes.push(Capacity { size, slots, rate });
                }
                None => add_to_smaller(&mut sizes, &size, rate),
            }
        }
        sizes
    }

    /// Throughput of this host's upstreams when all slots are busy, in nominal seconds of work per
    /// second.
    pub(super) fn rate(&self, now: Time) -> f64 {
        let owned = self.upstreams.values().filter(|upstream| upstream.owned);
        owned.map(|upstream| nominal_rate(upstream, now)).sum()
    }

    /// Upstreams that this host dispatches to and that are not leaving, regardless of health.
    pub(super) fn serving(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().filter(|upstream| upstream.owned && !upstream.spec.leaving)
    }

    /// Upstreams that may get ordinary tasks (not just probe tasks) now.
    pub(super) fn healthy(&self, now: Time) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let usable = move |(_, upstream): &(UpstreamKey, &Upstream)| {
            upstream.accepts_tasks(now) && upstream.health.eligibility(now) == Eligibility::Healthy
        };
        self.upstreams.iter().filter(usable)
    }
}
