use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// Names a subscription; the smallest is due first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    at: Instant,
    sequence: u64,
}

/// What happens when a subscription is due.
#[derive(Debug)]
pub(super) enum Entry {
    /// A tick, and the next one a period later.
    Every(Duration, mpsc::Sender<()>),
    /// Its one wait ends.
    At(oneshot::Sender<()>),
}

/// All subscriptions in the order in which they are due.
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

    /// Takes a subscription out.
    pub fn remove(&mut self, key: Key) {
        self.entries.remove(&key);
    }

    /// Lets everything happen that is due; gives the instant of the next.
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
