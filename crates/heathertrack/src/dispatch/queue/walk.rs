use super::WaitKey;
use crate::dispatch::{Rank, Shape};
use std::collections::btree_set::Iter;
use std::collections::{BTreeMap, BTreeSet};
use std::iter::Peekable;

/// Goes through a queue in order; shapes can be left out on the way.
#[derive(Debug)]
pub struct Walk<'a> {
    lines: Vec<Line<'a>>,
}

/// What waits of one shape and was not yet met.
#[derive(Debug)]
struct Line<'a> {
    shape: Shape,
    rest: Peekable<Iter<'a, (Rank, WaitKey)>>,
    passed: usize,
}

impl<'a> Walk<'a> {
    pub(super) fn new(by_shape: &'a BTreeMap<Shape, BTreeSet<(Rank, WaitKey)>>) -> Self {
        let line = |(shape, alike): (&Shape, &'a BTreeSet<(Rank, WaitKey)>)| Line {
            shape: *shape,
            rest: alike.iter().peekable(),
            passed: 0,
        };
        Walk { lines: by_shape.iter().map(line).collect() }
    }

    /// Notes that one of a shape was of no use. After `most` of them the rest of the shape is left
    /// out, so that those without a place hold up only their like.
    pub fn pass(&mut self, shape: Shape, most: usize) {
        let Some(at) = self.lines.iter().position(|line| line.shape == shape) else {
            return;
        };
        self.lines[at].passed += 1;
        if self.lines[at].passed >= most {
            self.lines.remove(at);
        }
    }
}

impl Iterator for Walk<'_> {
    type Item = (Shape, WaitKey);

    fn next(&mut self) -> Option<Self::Item> {
        let heads = self.lines.iter_mut().enumerate();
        let heads = heads.filter_map(|(at, line)| line.rest.peek().map(|head| (**head, at)));
        let (_, at) = heads.min()?;
        let line = &mut self.lines[at];
        line.rest.next().map(|(_, key)| (line.shape, *key))
    }
}
