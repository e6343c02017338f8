use crate::clock::Time;

/// Token bucket: starts accumulate at a constant rate, up to a burst.
///
/// Lent starts count against the burst until the loan has ended, so the buckets of all hosts
/// together never hold more than the whole burst.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    lent: f64,
    saved: f64,
    at: Time,
}

impl Bucket {
    /// Creates an empty bucket with a rate of zero.
    pub fn new(now: Time) -> Self {
        Bucket { rate: 0.0, burst: 0.0, lent: 0.0, saved: 0.0, at: now }
    }

    /// Sets the rate per second and the burst. Starts above the new burst are discarded.
    pub fn set(&mut self, rate: f64, burst: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.saved = self.saved.min(self.room());
    }

    /// Takes one start. Returns whether one was available.
    pub fn take(&mut self, now: Time) -> bool {
        self.refill(now);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Lends up to `wanted` whole starts. Returns how many.
    pub fn lend(&mut self, wanted: u32, now: Time) -> u32 {
        let whole = self.whole(now).min(wanted);
        self.saved -= f64::from(whole);
        self.lent += f64::from(whole);
        whole
    }

    /// Ends a loan of starts. Those that were not used are lost.
    pub fn end_loan(&mut self, starts: u32, now: Time) {
        self.refill(now);
        self.lent = (self.lent - f64::from(starts)).max(0.0);
    }

    /// Returns the number of whole starts available.
    pub fn whole(&mut self, now: Time) -> u32 {
        self.refill(now);
        self.saved as u32
    }

    fn refill(&mut self, now: Time) {
        let passed = now.since(self.at).as_secs_f64();
        self.saved = (self.saved + passed * self.rate).min(self.room());
        self.at = self.at.max(now);
    }

    fn room(&self) -> f64 {
        (self.burst - self.lent).max(0.0)
    }
}
