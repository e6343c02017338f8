use crate::clock::Time;

/// Starts saved up at a steady rate, up to a burst.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    saved: f64,
    /// Starts given by a lender, which do not come back by time.
    given: f64,
    at: Time,
}

impl Bucket {
    /// An empty bucket that gains nothing.
    pub fn new(now: Time) -> Self {
        Bucket {
            rate: 0.0,
            burst: 0.0,
            saved: 0.0,
            given: 0.0,
            at: now,
        }
    }

    /// Sets the rate per second and the burst. What was saved above the new burst is lost.
    pub fn set(&mut self, rate: f64, burst: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.saved = self.saved.min(burst);
    }

    /// Takes one start, if there is one.
    pub fn take(&mut self, now: Time) -> bool {
        self.refill(now);
        if self.given >= 1.0 {
            self.given -= 1.0;
            return true;
        }
        if self.saved + self.given >= 1.0 {
            self.saved -= 1.0 - self.given;
            self.given = 0.0;
            return true;
        }
        false
    }

    /// Gives away whole starts, at most `wanted`.
    pub fn give(&mut self, wanted: u32, now: Time) -> u32 {
        self.refill(now);
        let whole = (self.saved.max(0.0) as u32).min(wanted);
        self.saved -= f64::from(whole);
        whole
    }

    /// Takes starts that another host gave away.
    pub fn receive(&mut self, starts: u32) {
        self.given += f64::from(starts);
    }

    /// Gives back everything that is saved, as its owner stops.
    pub fn empty(&mut self) {
        self.saved = 0.0;
        self.given = 0.0;
    }

    /// Whole starts there are now.
    pub fn whole(&mut self, now: Time) -> u32 {
        self.refill(now);
        (self.saved + self.given).max(0.0) as u32
    }

    fn refill(&mut self, now: Time) {
        let passed = now.since(self.at).as_secs_f64();
        self.saved = (self.saved + passed * self.rate).min(self.burst);
        self.at = self.at.max(now);
    }
}
