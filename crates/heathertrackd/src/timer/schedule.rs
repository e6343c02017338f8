//! The timer service's queue of subscriptions.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// Key of a subscription, ordered by due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    at: Instant,
    /// Distinguishes subscriptions that are due at the same instant.
    sequence: u64,
}

/// Receiver of a subscription's events.
#[derive(Debug)]
pub(super) enum Subscription {
    /// Ticks, and is due again a period later.
    Periodic(Duration, mpsc::Sender<()>),
    /// Completes a single wait.
    Once(oneshot::Sender<()>),
}

/// All subscriptions, ordered by due time.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    subscriptions: BTreeMap<Key, Subscription>,
    /// Number of subscriptions added so far.
    sequence: u64,
}

impl Schedule {
    /// Adds a subscription. Returns its key and whether it is due before all others.
    pub fn add(&mut self, at: Instant, subscription: Subscription) -> (Key, bool) {
        self.sequence += 1;
        let key = Key { at, sequence: self.sequence };
        self.subscriptions.insert(key, subscription);
        let first = self.subscriptions.first_key_value();
        (key, first.is_some_and(|(first, _)| *first == key))
    }

    /// Removes a subscription.
    pub fn remove(&mut self, key: Key) {
        self.subscriptions.remove(&key);
    }

    /// Fires all subscriptions that are due. Returns the instant of the next one.
    pub fn fire(&mut self, now: Instant) -> Option<Instant> {
        while let Some(first) = self.subscriptions.first_entry() {
            if first.key().at > now {
                return Some(first.key().at);
            }
            match first.remove() {
                Subscription::Once(fired) => {
                    let _ = fired.send(());
                }
                Subscription::Periodic(period, ticks) if !ticks.is_closed() => {
                    let _ = ticks.try_send(());
                    self.add(now + period, Subscription::Periodic(period, ticks));
                }
                Subscription::Periodic(..) => {}
            }
        }
        None
    }
}
