//! How busy a dispatcher is, and what it can do.

use super::Dispatcher;
use crate::clock::Time;
use crate::dispatch::{Capacity, FreeSlots, Load, Needs, Spec, Standing, Upstream, UpstreamKey};

/// Sizes of workers told apart in a load.
const MOST_SIZES: usize = 16;

/// Ordinary seconds of work that an upstream does per second; nothing if it gets no tasks.
fn ordinary_rate(upstream: &Upstream, now: Time) -> f64 {
    match upstream.health.standing(now) {
        Standing::Good => f64::from(upstream.spec.slots) / upstream.learned_slowness(),
        _ => 0.0,
    }
}

/// Counts an upstream of one size too many as one of a smaller size, if there is one.
fn add_to_smaller(sizes: &mut [Capacity], size: &Needs, rate: f64) {
    if let Some(smaller) = sizes.iter_mut().find(|known| size.holds(&known.size)) {
        smaller.rate += rate;
    }
}

impl<T> Dispatcher<T> {
    /// How busy this dispatcher is.
    pub fn load(&self, now: Time) -> Load {
        let mut free: Vec<FreeSlots> = Vec::new();
        for (_, upstream) in self.good(now) {
            let count = upstream.free_slots() as u32;
            if count > 0 {
                let (slowness, room) = (upstream.slowness(now), upstream.room());
                free.push(FreeSlots { slowness, count, room });
            }
        }
        free.sort_by(|a, b| a.slowness.total_cmp(&b.slowness));
        let waiting = self.waiting.len() as u32;
        Load { free, waiting, backlog: self.backlog, capacity: self.capacity(now) }
    }

    /// What all upstreams served from here can do, by size; at most [`MOST_SIZES`] of them.
    fn capacity(&self, now: Time) -> Vec<Capacity> {
        let mut sizes: Vec<Capacity> = Vec::new();
        for upstream in self.serving() {
            let Spec { size, slots, .. } = upstream.spec;
            let rate = ordinary_rate(upstream, now);
            match sizes.iter().position(|known| known.size == size && known.slots == slots) {
                Some(at) => sizes[at].rate += rate,
                None if sizes.len() < MOST_SIZES => sizes.push(Capacity { size, slots, rate }),
                None => add_to_smaller(&mut sizes, &size, rate),
            }
        }
        sizes
    }

    /// Ordinary seconds of work done per second when all slots are busy.
    pub(super) fn rate(&self, now: Time) -> f64 {
        let owned = self.upstreams.values().filter(|upstream| upstream.owned);
        owned.map(|upstream| ordinary_rate(upstream, now)).sum()
    }

    /// Upstreams that this host dispatches to, whatever their health.
    pub(super) fn serving(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().filter(|upstream| upstream.owned && !upstream.spec.leaving)
    }

    /// Upstreams that may get ordinary tasks now.
    pub(super) fn good(&self, now: Time) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let usable = move |(_, upstream): &(UpstreamKey, &Upstream)| {
            upstream.is_open(now) && upstream.health.standing(now) == Standing::Good
        };
        self.upstreams.iter().filter(usable)
    }
}
