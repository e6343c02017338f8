mod walk;

pub use walk::Walk;

use super::{Rank, Shape};
use crate::clock::Time;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet};

/// Key of an entry in one queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueKey {
    /// The first field, so that the derived order keeps entries of equal rank in the order in which
    /// they were added.
    sequence: u64,
    index: usize,
}

/// Priority queue ordered by rank, indexed by shape and by deadline.
#[derive(Debug)]
pub struct Queue<T> {
    entries: Slab<Entry<T>>,
    by_shape: BTreeMap<Shape, BTreeSet<(Rank, QueueKey)>>,
    by_deadline: BTreeSet<(Time, QueueKey)>,
    /// Sequence number of the last entry added.
    sequence: u64,
}

#[derive(Debug)]
struct Entry<T> {
    key: QueueKey,
    rank: Rank,
    shape: Shape,
    deadline: Time,
    value: T,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Queue {
            entries: Slab::new(),
            by_shape: BTreeMap::new(),
            by_deadline: BTreeSet::new(),
            sequence: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Adds a value. Values of equal rank keep the order in which they were added.
    pub fn push(&mut self, rank: Rank, shape: Shape, deadline: Time, value: T) -> QueueKey {
        self.sequence += 1;
        let slot = self.entries.vacant_entry();
        let key = QueueKey { index: slot.key(), sequence: self.sequence };
        slot.insert(Entry { key, rank, shape, deadline, value });
        self.by_shape.entry(shape).or_default().insert((rank, key));
        self.by_deadline.insert((deadline, key));
        key
    }

    /// Returns the value under a key, if it is still queued.
    pub fn get(&self, key: QueueKey) -> Option<&T> {
        let entry = self.entries.get(key.index)?;
        (entry.key == key).then_some(&entry.value)
    }

    /// Removes and returns the value under a key, at any position.
    pub fn remove(&mut self, key: QueueKey) -> Option<T> {
        self.get(key)?;
        let entry = self.entries.remove(key.index);
        if let Some(entries) = self.by_shape.get_mut(&entry.shape) {
            entries.remove(&(entry.rank, key));
            if entries.is_empty() {
                self.by_shape.remove(&entry.shape);
            }
        }
        self.by_deadline.remove(&(entry.deadline, key));
        Some(entry.value)
    }

    /// Iterates over all entries in rank order.
    pub fn walk(&self) -> Walk<'_> {
        Walk::new(&self.by_shape)
    }

    /// For each shape that `wanted` accepts, iterates over up to `count` of its keys, starting with
    /// the one that ranks last.
    pub fn ranked_last(
        &self,
        count: usize,
        wanted: impl Fn(&Shape) -> bool,
    ) -> impl Iterator<Item = QueueKey> {
        let shapes = self.by_shape.iter().filter(move |(shape, _)| wanted(shape));
        shapes.flat_map(move |(_, entries)| entries.iter().rev().take(count).map(|(_, key)| *key))
    }

    /// Shapes of the queued entries, each once.
    pub fn shapes(&self) -> impl Iterator<Item = Shape> {
        self.by_shape.keys().copied()
    }

    /// Keys of one shape, in rank order.
    pub fn keys_of_shape(&self, shape: Shape) -> impl Iterator<Item = QueueKey> {
        self.by_shape.get(&shape).into_iter().flatten().map(|(_, key)| *key)
    }

    /// Removes and returns all values whose deadline is at or before `now`.
    pub fn expire(&mut self, now: Time) -> Vec<T> {
        let due: Vec<QueueKey> = self
            .by_deadline
            .iter()
            .take_while(|(deadline, _)| *deadline <= now)
            .map(|(_, key)| *key)
            .collect();
        due.into_iter().filter_map(|key| self.remove(key)).collect()
    }

    /// Number of queued values.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
