use crate::clock::Time;

/// Token bucket: task starts accumulate at a constant rate, up to a burst.
///
/// Lent starts count against the lender's burst until the loan has ended, so all hosts together
/// never hold more starts than the burst of the whole allowance.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Starts per second.
    rate: f64,
    /// Maximum of available and lent starts together.
    burst: f64,
    /// Starts of loans that have not ended.
    lent: f64,
    /// Available starts.
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates an empty bucket with a rate of zero.
    pub fn new(now: Time) -> Self {
        TokenBucket { rate: 0.0, burst: 0.0, lent: 0.0, tokens: 0.0, refilled_at: now }
    }

    /// Sets the rate, in starts per second, and the burst. Starts above the new burst are
    /// discarded.
    pub fn configure(&mut self, rate: f64, burst: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Takes one start. Returns whether one was available.
    pub fn take(&mut self, now: Time) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Lends up to `wanted` whole starts. Returns how many.
    pub fn lend(&mut self, wanted: u32, now: Time) -> u32 {
        let count = self.available(now).min(wanted);
        self.tokens -= f64::from(count);
        self.lent += f64::from(count);
        count
    }

    /// Ends a loan of `starts` starts, which no longer reduce the burst. Unused ones are lost.
    pub fn end_loan(&mut self, starts: u32, now: Time) {
        self.refill(now);
        self.lent = (self.lent - f64::from(starts)).max(0.0);
    }

    /// Returns the number of whole starts available.
    pub fn available(&mut self, now: Time) -> u32 {
        self.refill(now);
        self.tokens as u32
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    fn capacity(&self) -> f64 {
        (self.burst - self.lent).max(0.0)
    }
}
