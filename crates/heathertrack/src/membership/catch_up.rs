use crate::clock::Time;
use std::time::Duration;

/// Shortest time between two questions, to whichever peer: an answer may hold a large
/// configuration, and several at once would fill a small host's link.
const PAUSE: Duration = Duration::from_millis(400);
/// Time that the store is given to deliver what a peer already has, before a peer is asked.
const PATIENCE: Duration = Duration::from_millis(800);
/// Time for which peers of the own data centre are asked before others are.
const NEAR_FIRST: Duration = Duration::from_millis(300);

/// Decides when a host that is behind asks a peer for what the store has not delivered.
///
/// Answers the load pattern "a large configuration comes to many hosts at once": each gets it from
/// the store, and only those that the store fails ask, one peer at a time.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    behind_since: Option<Time>,
    asked: Option<Time>,
}

impl CatchUp {
    /// Whether a peer that has newer items is asked for them. `failing` says that the store doesn't
    /// answer this host, `near` that the peer is in its data centre.
    pub fn asks(&mut self, failing: bool, near: bool, now: Time) -> bool {
        let behind = now.since(*self.behind_since.get_or_insert(now));
        let patience = if failing { Duration::ZERO } else { PATIENCE };
        let patience = if near { patience } else { patience + NEAR_FIRST };
        let asked_lately = self.asked.is_some_and(|asked| now.since(asked) < PAUSE);
        if behind < patience || asked_lately {
            return false;
        }
        self.asked = Some(now);
        true
    }

    /// The host has what its peers have.
    pub fn reached(&mut self) {
        self.behind_since = None;
    }
}
