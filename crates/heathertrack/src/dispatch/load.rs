use std::time::Duration;

/// Free slots on upstreams of one speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FreeSlots {
    /// How many times slower than ordinary.
    pub slowness: f64,
    /// Slots free.
    pub count: u32,
}

/// How busy a dispatcher is, as it tells its peers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Free slots by speed, the fastest first.
    pub free: Vec<FreeSlots>,
    /// Tasks waiting.
    pub waiting: u32,
    /// Expected time of the waiting tasks together, at ordinary speed.
    pub backlog: Duration,
    /// Ordinary seconds of work done per second when all slots are busy.
    pub rate: f64,
}

impl Load {
    /// Free slots in all.
    pub fn free_count(&self) -> u32 {
        self.free.iter().map(|slots| slots.count).sum()
    }

    /// Expected wait of a task that joins the end of the queue.
    pub fn wait(&self) -> Duration {
        if self.rate <= 0.0 {
            return Duration::from_secs(3_600);
        }
        self.backlog.div_f64(self.rate.max(1e-3))
    }

    /// Takes the fastest free slot, as if a task had been sent. Returns its slowness.
    pub fn take_free(&mut self) -> Option<f64> {
        let first = self.free.first_mut()?;
        let slowness = first.slowness;
        first.count -= 1;
        if first.count == 0 {
            self.free.remove(0);
        }
        Some(slowness)
    }
}
