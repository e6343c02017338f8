use crate::clock::Time;

/// Starts saved up at a steady rate, up to a burst.
///
/// Starts that were lent still count against the burst until the loan has ended, so all hosts
/// together never have more saved than the whole burst.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    lent: f64,
    saved: f64,
    at: Time,
}

impl Bucket {
    /// An empty bucket that gains nothing.
    pub fn new(now: Time) -> Self {
        Bucket { rate: 0.0, burst: 0.0, lent: 0.0, saved: 0.0, at: now }
    }

    /// Sets the rate per second and the burst. What was saved above the new burst is lost.
    pub fn set(&mut self, rate: f64, burst: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.saved = self.saved.min(self.room());
    }

    /// Takes one start, if there is one.
    pub fn take(&mut self, now: Time) -> bool {
        self.refill(now);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Lends whole starts, at most `wanted`.
    pub fn lend(&mut self, wanted: u32, now: Time) -> u32 {
        let whole = self.whole(now).min(wanted);
        self.saved -= f64::from(whole);
        self.lent += f64::from(whole);
        whole
    }

    /// Notes that a loan of starts has ended; what was not used of it is lost.
    pub fn end_loan(&mut self, starts: u32, now: Time) {
        self.refill(now);
        self.lent = (self.lent - f64::from(starts)).max(0.0);
    }

    /// Whole starts there are now.
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
