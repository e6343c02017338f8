use super::Rank;
use crate::clock::Time;
use slab::Slab;
use std::collections::BTreeSet;

/// Names a waiting task in one queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitKey {
    /// Goes first, so that equal ranks keep the order of arrival.
    sequence: u64,
    index: usize,
}

/// Waiting tasks, in the order of their rank, with their deadlines.
#[derive(Debug)]
pub struct Queue<T> {
    entries: Slab<Entry<T>>,
    by_rank: BTreeSet<(Rank, WaitKey)>,
    by_deadline: BTreeSet<(Time, WaitKey)>,
    sequence: u64,
}

#[derive(Debug)]
struct Entry<T> {
    key: WaitKey,
    rank: Rank,
    deadline: Time,
    value: T,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Queue {
            entries: Slab::new(),
            by_rank: BTreeSet::new(),
            by_deadline: BTreeSet::new(),
            sequence: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Adds a value. Equal ranks keep the order in which they were added.
    pub fn push(&mut self, rank: Rank, deadline: Time, value: T) -> WaitKey {
        self.sequence += 1;
        let slot = self.entries.vacant_entry();
        let key = WaitKey { index: slot.key(), sequence: self.sequence };
        slot.insert(Entry { key, rank, deadline, value });
        self.by_rank.insert((rank, key));
        self.by_deadline.insert((deadline, key));
        key
    }

    /// The value under a key, if it still waits.
    pub fn get(&self, key: WaitKey) -> Option<&T> {
        let entry = self.entries.get(key.index)?;
        (entry.key == key).then_some(&entry.value)
    }

    /// Takes a value out, wherever it stands.
    pub fn remove(&mut self, key: WaitKey) -> Option<T> {
        self.get(key)?;
        let entry = self.entries.remove(key.index);
        self.by_rank.remove(&(entry.rank, key));
        self.by_deadline.remove(&(entry.deadline, key));
        Some(entry.value)
    }

    /// The first keys in order, at most `count`.
    pub fn first(&self, count: usize) -> Vec<WaitKey> {
        self.by_rank.iter().take(count).map(|(_, key)| *key).collect()
    }

    /// The last keys in order, at most `count`, the last one first.
    pub fn last(&self, count: usize) -> Vec<WaitKey> {
        self.by_rank.iter().rev().take(count).map(|(_, key)| *key).collect()
    }

    /// Takes out everything whose deadline has come.
    pub fn expire(&mut self, now: Time) -> Vec<T> {
        let due: Vec<WaitKey> = self
            .by_deadline
            .iter()
            .take_while(|(deadline, _)| *deadline <= now)
            .map(|(_, key)| *key)
            .collect();
        due.into_iter().filter_map(|key| self.remove(key)).collect()
    }

    /// Values waiting.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
