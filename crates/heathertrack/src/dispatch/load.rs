use super::{Capacity, Needs};
use std::time::Duration;

/// Free slots on one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FreeSlots {
    /// How many times slower than ordinary.
    pub slowness: f64,
    /// Slots free.
    pub count: u32,
    /// What its worker has left to give.
    pub room: Needs,
}

/// How busy a dispatcher is, as it tells its peers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Free slots by upstream, the fastest first.
    pub free: Vec<FreeSlots>,
    /// Tasks waiting.
    pub waiting: u32,
    /// Expected time of the waiting tasks together, at ordinary speed.
    pub backlog: Duration,
    /// What it serves in all, by size of the workers.
    pub capacity: Vec<Capacity>,
}

/// Upstreams that a brief load names before it leaves out those that offer no more.
const BRIEF: usize = 8;
/// A wait without an end in sight.
const FOREVER: Duration = Duration::from_secs(3_600);

impl Load {
    /// Free slots in all.
    pub fn free_count(&self) -> u32 {
        self.free.iter().map(|slots| slots.count).sum()
    }

    /// Ordinary seconds of work done per second when all slots are busy.
    pub fn rate(&self) -> f64 {
        self.capacity.iter().map(|capacity| capacity.rate).sum()
    }

    /// The same for tasks of these needs only. `None` if no upstream can hold them.
    pub fn rate_for(&self, needs: &Needs) -> Option<f64> {
        let rates = self.capacity.iter().filter_map(|capacity| capacity.rate_for(needs));
        rates.reduce(|sum, rate| sum + rate)
    }

    /// Whether a task of these needs could start now.
    pub fn has_room(&self, needs: &Needs) -> bool {
        self.free.iter().any(|slots| slots.room.holds(needs))
    }

    /// The same load with fewer upstreams, to be told to peers with every answer: one is left out
    /// if eight faster ones have at least as much room.
    pub fn brief(&self) -> Load {
        let mut free: Vec<FreeSlots> = Vec::new();
        for slots in &self.free {
            let better = free.iter().filter(|kept| kept.room.holds(&slots.room)).count();
            if better < BRIEF {
                free.push(*slots);
            }
        }
        Load { free, ..self.clone() }
    }

    /// Expected wait of a task that joins the end of the queue.
    pub fn wait(&self) -> Duration {
        let rate = self.rate();
        if rate <= 0.0 {
            return FOREVER;
        }
        self.backlog.div_f64(rate.max(1e-3))
    }

    /// Expected time until a task that takes `expected` at ordinary speed would end. `None` if no
    /// upstream can hold it.
    pub fn finish(&self, expected: Duration, needs: &Needs) -> Option<Duration> {
        if let Some(slots) = self.free.iter().find(|slots| slots.room.holds(needs)) {
            return Some(expected.mul_f64(slots.slowness));
        }
        let rate = self.rate_for(needs)?;
        Some(if rate > 0.0 { self.wait() + expected } else { FOREVER })
    }

    /// Counts a task in, as if it had been sent: it takes the fastest free slot, or waits.
    pub fn add(&mut self, expected: Duration, needs: &Needs) {
        let Some(at) = self.free.iter().position(|slots| slots.room.holds(needs)) else {
            self.waiting += 1;
            self.backlog += expected;
            return;
        };
        let slots = &mut self.free[at];
        slots.count -= 1;
        slots.room = slots.room.minus(needs);
        if slots.count == 0 {
            self.free.remove(at);
        }
    }
}
