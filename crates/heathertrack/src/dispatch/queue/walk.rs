use super::QueueKey;
use crate::dispatch::{Rank, Shape};
use std::collections::btree_set::Iter;
use std::collections::{BTreeMap, BTreeSet};
use std::iter::Peekable;

/// Iterator over a queue in rank order, which can skip the remaining entries of a shape.
#[derive(Debug)]
pub struct Walk<'a> {
    shapes: Vec<ShapeEntries<'a>>,
}

/// Remaining entries of one shape.
#[derive(Debug)]
struct ShapeEntries<'a> {
    shape: Shape,
    remaining: Peekable<Iter<'a, (Rank, QueueKey)>>,
    /// Number of entries rejected so far.
    rejected: usize,
}

impl<'a> Walk<'a> {
    pub(super) fn new(by_shape: &'a BTreeMap<Shape, BTreeSet<(Rank, QueueKey)>>) -> Self {
        let entries = |(shape, ranked): (&Shape, &'a BTreeSet<(Rank, QueueKey)>)| ShapeEntries {
            shape: *shape,
            remaining: ranked.iter().peekable(),
            rejected: 0,
        };
        Walk { shapes: by_shape.iter().map(entries).collect() }
    }

    /// Records that an entry of a shape was rejected. Once `max_rejected` entries of the shape are,
    /// its remaining entries are skipped, so that tasks that can't be placed delay only tasks of
    /// the same shape.
    pub fn reject(&mut self, shape: Shape, max_rejected: usize) {
        let Some(at) = self.shapes.iter().position(|entries| entries.shape == shape) else {
            return;
        };
        self.shapes[at].rejected += 1;
        if self.shapes[at].rejected >= max_rejected {
            self.shapes.remove(at);
        }
    }
}

impl Iterator for Walk<'_> {
    type Item = (Shape, QueueKey);

    fn next(&mut self) -> Option<Self::Item> {
        // Each shape is sorted, so the next entry overall is the smallest of the heads.
        let heads = self.shapes.iter_mut().enumerate();
        let heads =
            heads.filter_map(|(at, entries)| entries.remaining.peek().map(|head| (**head, at)));
        let (_, at) = heads.min()?;
        let entries = &mut self.shapes[at];
        entries.remaining.next().map(|(_, key)| (entries.shape, *key))
    }
}
