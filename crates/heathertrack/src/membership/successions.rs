use crate::clock::Time;
use crate::ticket::Home;
use std::collections::BTreeMap;
use std::time::Duration;

/// Successions followed from one home before giving up; a circle can't be written, but a
/// damaged message could hold one.
const LONGEST_CHAIN: usize = 64;

/// Which process took over the record of one that stopped as planned.
///
/// The succession is written once, by the process that stops, after it has taken its last
/// submission; so it never changes, and copies of it can be passed on freely.
#[derive(Clone, Debug)]
pub struct Successions {
    keep: Duration,
    by_home: BTreeMap<Home, (Home, Time)>,
}

impl Successions {
    /// Keeps each succession for `keep`, after which no key of its home is accepted any more.
    pub fn new(keep: Duration) -> Self {
        Successions { keep, by_home: BTreeMap::new() }
    }

    /// Notes that `to` took over from `from`. Returns whether that is news.
    pub fn note(&mut self, from: Home, to: Home, now: Time) -> bool {
        if from == to || self.by_home.contains_key(&from) {
            return false;
        }
        self.by_home.insert(from, (to, now + self.keep));
        true
    }

    /// The process that keeps the record of `home` now.
    pub fn current(&self, home: &Home) -> Home {
        let mut current = home;
        for _ in 0..LONGEST_CHAIN {
            match self.by_home.get(current) {
                Some((next, _)) => current = next,
                None => break,
            }
        }
        current.clone()
    }

    /// Forgets what is no longer needed.
    pub fn expire(&mut self, now: Time) {
        self.by_home.retain(|_, (_, until)| *until > now);
    }

    /// All successions, to be passed on.
    pub fn iter(&self) -> impl Iterator<Item = (&Home, &Home)> {
        self.by_home.iter().map(|(from, (to, _))| (from, to))
    }

    /// Successions known.
    pub fn len(&self) -> usize {
        self.by_home.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.by_home.is_empty()
    }
}
