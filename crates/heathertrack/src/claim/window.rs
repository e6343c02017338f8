use std::time::Duration;

/// How long a caller-minted key is accepted, and how long its claim must outlive it.
///
/// The key carries the time at which it was minted. A claim is kept longer than any host can
/// accept the key, whatever two hosts' clocks say within `skew`, so a claim that lapsed can't let
/// the key start again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Age up to which a key is accepted.
    pub accepted: Duration,
    /// Largest difference between any clock and true time.
    pub skew: Duration,
}

/// What the time in a key allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// It may be claimed; it stays acceptable on this clock for this long.
    Fresh(Duration),
    /// It may have run already, and its claim may be gone.
    TooOld,
    /// It lies ahead of this clock by more than the allowed skew.
    Ahead,
}

impl Default for Window {
    fn default() -> Self {
        Window { accepted: Duration::from_secs(600), skew: Duration::from_secs(5) }
    }
}

impl Window {
    /// Judges a key minted at `minted_ms`, with the wall clock at `wall_ms` (Unix milliseconds).
    pub fn judge(&self, minted_ms: u64, wall_ms: u64) -> Age {
        let accepted = millis(self.accepted);
        if minted_ms > wall_ms + 2 * millis(self.skew) {
            return Age::Ahead;
        }
        let end = minted_ms + accepted;
        if wall_ms > end {
            return Age::TooOld;
        }
        Age::Fresh(Duration::from_millis(end - wall_ms))
    }

    /// How much longer than one clock accepts a key it must be remembered for all the others.
    ///
    /// Each clock may be off by the skew when its process starts and be stepped by as much again
    /// unnoticed, so two clocks may differ by four skews; one more makes it sure.
    pub fn margin(&self) -> Duration {
        5 * self.skew
    }

    /// Least time for which a claim must be kept in the store.
    pub fn claim_ttl(&self) -> Duration {
        self.accepted + self.margin()
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
