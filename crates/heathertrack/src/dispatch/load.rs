use super::{Capacity, Needs};
use std::time::Duration;

/// Free slots on one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FreeSlots {
    /// Run time relative to an upstream of nominal speed; 2 is half as fast.
    pub slowness: f64,
    /// Number of free slots.
    pub count: u32,
    /// Free resources of the upstream's worker.
    pub free_capacity: Needs,
}

/// Load of a dispatcher, as reported to its peers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Free slots by upstream, fastest first.
    pub free: Vec<FreeSlots>,
    /// Number of queued tasks.
    pub queued: u32,
    /// Total expected run time of the queued tasks at nominal speed.
    pub backlog: Duration,
    /// Total capacity, busy or free: one entry for each size of workers and number of slots of an
    /// upstream.
    pub capacity: Vec<Capacity>,
}

/// Lower bound of a throughput that is used as a divisor, in nominal seconds of work per second.
pub(super) const MIN_RATE: f64 = 1e-3;
/// [`Load::shortened`] omits an upstream if it lists this many faster ones with at least as much free
/// capacity.
const MIN_BETTER_TO_OMIT: usize = 8;
/// Expected wait if the throughput is zero, where the actual wait has no bound.
const ZERO_RATE_WAIT: Duration = Duration::from_secs(3_600);

impl Load {
    /// Total number of free slots.
    pub fn free_count(&self) -> u32 {
        self.free.iter().map(|slots| slots.count).sum()
    }

    /// Throughput in nominal seconds of work per second when all slots are busy.
    pub fn rate(&self) -> f64 {
        self.capacity.iter().map(|capacity| capacity.rate).sum()
    }

    /// Throughput if all tasks have these needs. `None` if no upstream can hold them.
    pub fn rate_for(&self, needs: &Needs) -> Option<f64> {
        let rates = self.capacity.iter().filter_map(|capacity| capacity.rate_for(needs));
        rates.reduce(|sum, rate| sum + rate)
    }

    /// Whether a task of these needs could start now.
    pub fn can_start(&self, needs: &Needs) -> bool {
        self.free.iter().any(|slots| slots.free_capacity.holds(needs))
    }

    /// Returns a shortened load, small enough to be sent to peers with every answer. An upstream is
    /// omitted if `MIN_BETTER_TO_OMIT` faster ones in the result have at least as much free
    /// capacity.
    pub fn shortened(&self) -> Load {
        let mut free: Vec<FreeSlots> = Vec::new();
        for slots in &self.free {
            let better = free
                .iter()
                .filter(|listed| listed.free_capacity.holds(&slots.free_capacity))
                .count();
            if better < MIN_BETTER_TO_OMIT {
                free.push(*slots);
            }
        }
        Load { free, ..self.clone() }
    }

    /// Expected time until the queued tasks are done if all slots are busy: the wait of a task added
    /// at the end of the queue. Free slots are ignored.
    pub fn wait(&self) -> Duration {
        let rate = self.rate();
        if rate <= 0.0 {
            return ZERO_RATE_WAIT;
        }
        self.backlog.div_f64(rate.max(MIN_RATE))
    }

    /// Expected time until the end of a new task that takes `expected` at nominal speed. `None` if
    /// no upstream can hold it.
    pub fn expected_finish(&self, expected: Duration, needs: &Needs) -> Option<Duration> {
        if let Some(slots) = self.free.iter().find(|slots| slots.free_capacity.holds(needs)) {
            return Some(expected.mul_f64(slots.slowness));
        }
        let rate = self.rate_for(needs)?;
        Some(if rate > 0.0 { self.wait() + expected } else { ZERO_RATE_WAIT })
    }

    /// Adds a task to the load as if it had been sent: it takes the fastest free slot that can hold
    /// it, or joins the queue.
    pub fn add(&mut self, expected: Duration, needs: &Needs) {
        let Some(at) = self.free.iter().position(|slots| slots.free_capacity.holds(needs)) else {
            self.queued += 1;
            self.backlog += expected;
            return;
        };
        let slots = &mut self.free[at];
        slots.count -= 1;
        slots.free_capacity = slots.free_capacity.minus(needs);
        if slots.count == 0 {
            self.free.remove(at);
        }
    }
}
