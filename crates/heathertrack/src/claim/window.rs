use std::time::Duration;

/// Period in which a caller-minted key is accepted, and how long its claim must be kept.
///
/// The key carries the time at which it was minted. A claim is kept longer than any host can accept
/// the key while its clock is within `skew`, so the expiry of a claim never lets the key start
/// again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyWindow {
    /// Maximum age of an accepted key.
    pub accepted: Duration,
    /// Maximum difference between any clock and true time.
    pub skew: Duration,
}

/// Result of checking the time of a minted key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// The key may be claimed, and is accepted for this much longer on this clock.
    Fresh(Duration),
    /// The job may have run already, and its claim may have expired.
    TooOld,
    /// The key was minted later than this clock says by more than twice the skew.
    Ahead,
}

impl Default for KeyWindow {
    fn default() -> Self {
        KeyWindow { accepted: Duration::from_secs(600), skew: Duration::from_secs(5) }
    }
}

impl KeyWindow {
    /// Checks a key minted at `minted_ms` when the wall clock says `wall_ms` (Unix milliseconds).
    pub fn check(&self, minted_ms: u64, wall_ms: u64) -> KeyAge {
        let accepted = millis(self.accepted);
        if minted_ms > wall_ms + 2 * millis(self.skew) {
            return KeyAge::Ahead;
        }
        let end = minted_ms + accepted;
        if wall_ms > end {
            return KeyAge::TooOld;
        }
        KeyAge::Fresh(Duration::from_millis(end - wall_ms))
    }

    /// Returns how much longer than one clock accepts a key its record must be kept for the others.
    ///
    /// Each clock may be off by the skew when its process starts and be stepped by as much again
    /// without detection, so two clocks may differ by four skews. The fifth is a reserve.
    pub fn retention_margin(&self) -> Duration {
        5 * self.skew
    }

    /// Returns the minimum time for which a claim must be kept in the store.
    pub fn claim_ttl(&self) -> Duration {
        self.accepted + self.retention_margin()
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
