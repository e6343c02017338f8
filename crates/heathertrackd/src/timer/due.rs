use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// Key of a subscription, ordered by due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    at: Instant,
    sequence: u64,
}

/// A subscription.
#[derive(Debug)]
pub(super) enum Entry {
    /// Ticks, and is due again a period later.
    Every(Duration, mpsc::Sender<()>),
    /// Completes a single wait.
    At(oneshot::Sender<()>),
}

/// All subscriptions, ordered by due time.
#[derive(Debug, Default)]
pub(super) struct Due {
    entries: BTreeMap<Key, Entry>,
    sequence: u64,
}

impl Due {
    /// Adds a subscription. Returns its key and whether it is due before all others.
    pub fn add(&mut self, at: Instant, entry: Entry) -> (Key, bool) {
        self.sequence += 1;
        let key = Key { at, sequence: self.sequence };
        self.entries.insert(key, entry);
        let first = self.entries.first_key_value();
        (key, first.is_some_and(|(first, _)| *first == key))
    }

    /// Removes a subscription.
    pub fn remove(&mut self, key: Key) {
        self.entries.remove(&key);
    }

    /// Fires all subscriptions that are due. Returns the instant of the next one.
    pub fn fire(&mut self, now: Instant) -> Option<Instant> {
        while let Some(first) = self.entries.first_entry() {
            if first.key().at > now {
                return Some(first.key().at);
            }
            match first.remove() {
                Entry::At(due) => {
                    let _ = due.send(());
                }
                Entry::Every(period, ticks) if !ticks.is_closed() => {
                    let _ = ticks.try_send(());
                    self.add(now + period, Entry::Every(period, ticks));
                }
                Entry::Every(..) => {}
            }
        }
        None
    }
}
