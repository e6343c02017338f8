use crate::clock::Time;
use crate::ticket::Home;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of successions followed from one home. Hosts never create a cycle of successions,
/// but a corrupted message could contain one.
const MAX_CHAIN_LENGTH: usize = 64;

/// Keeps, for each process that stopped as planned, which process took over its records.
///
/// A succession is written once, by the process that stops, after it has accepted its last
/// submission. It is immutable, so copies of it can be forwarded freely.
#[derive(Clone, Debug)]
pub struct Successions {
    retention: Duration,
    /// Successor and expiry time, by the process that stopped.
    by_home: BTreeMap<Home, (Home, Time)>,
}

impl Successions {
    /// Creates an empty set that keeps each succession for `retention`. After that time no key of
    /// the stopped process is accepted any more.
    pub fn new(retention: Duration) -> Self {
        Successions { retention, by_home: BTreeMap::new() }
    }

    /// Records that `to` took over from `from`. Changes nothing and returns false if `from` has a
    /// successor already, or is `to` itself.
    pub fn record(&mut self, from: Home, to: Home, now: Time) -> bool {
        if from == to || self.by_home.contains_key(&from) {
            return false;
        }
        self.by_home.insert(from, (to, now + self.retention));
        true
    }

    /// Returns the process that keeps the records of `home` now: the last of its successors, or
    /// `home` itself.
    pub fn current(&self, home: &Home) -> Home {
        let mut current = home;
        for _ in 0..MAX_CHAIN_LENGTH {
            match self.by_home.get(current) {
                Some((next, _)) => current = next,
                None => break,
            }
        }
        current.clone()
    }

    /// Removes successions whose retention time has passed.
    pub fn expire(&mut self, now: Time) {
        self.by_home.retain(|_, (_, until)| *until > now);
    }

    /// All successions as pairs of predecessor and successor.
    pub fn iter(&self) -> impl Iterator<Item = (&Home, &Home)> {
        self.by_home.iter().map(|(from, (to, _))| (from, to))
    }

    /// Number of successions.
    pub fn len(&self) -> usize {
        self.by_home.len()
    }

    /// Whether there are no successions.
    pub fn is_empty(&self) -> bool {
        self.by_home.is_empty()
    }
}
