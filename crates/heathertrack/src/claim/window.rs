use std::time::Duration;

/// Period in which a caller-minted key is accepted, and how long its claim must be kept.
///
/// The key carries the time at which it was minted. A claim is kept for longer than any host whose
/// clock is within the limits of `skew` accepts the key, so the expiry of a claim never lets the
/// job start again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyWindow {
    /// Maximum age at which a key is accepted.
    pub max_key_age: Duration,
    /// Maximum difference between a wall clock and true time when its process starts. Later steps
    /// of the clock that add up to at most as much again are tolerated.
    pub skew: Duration,
}

/// Result of checking the time of a minted key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// The key is accepted, and remains so for this much longer on this clock.
    Fresh(Duration),
    /// The key is older than the maximum age. Its job may have run, and its claim may have expired.
    TooOld,
    /// The key was minted later than this clock says, by more than twice the skew. Two clocks that
    /// are each within the skew of true time differ by no more than that.
    Ahead,
}

impl Default for KeyWindow {
    fn default() -> Self {
        KeyWindow { max_key_age: Duration::from_secs(600), skew: Duration::from_secs(5) }
    }
}

impl KeyWindow {
    /// Checks a key minted at `minted_ms` when the wall clock says `wall_ms` (Unix milliseconds).
    pub fn check(&self, minted_ms: u64, wall_ms: u64) -> KeyAge {
        let max_age_ms = millis(self.max_key_age);
        if minted_ms > wall_ms + 2 * millis(self.skew) {
            return KeyAge::Ahead;
        }
        let accept_until_ms = minted_ms + max_age_ms;
        if wall_ms > accept_until_ms {
            return KeyAge::TooOld;
        }
        KeyAge::Fresh(Duration::from_millis(accept_until_ms - wall_ms))
    }

    /// Returns how long the record or claim of a key must be kept after the key is too old by this
    /// host's clock, because another host may still accept it.
    ///
    /// Each clock may be off by the skew when its process starts and be stepped by as much again
    /// without detection, so two clocks may differ by four skews. The fifth is a reserve.
    pub fn retention_margin(&self) -> Duration {
        5 * self.skew
    }

    /// Returns how long a claim must be kept in the store at least, counted from the time at which
    /// its key was minted.
    pub fn claim_ttl(&self) -> Duration {
        self.max_key_age + self.retention_margin()
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
