use super::WaitKey;
use crate::dispatch::{Rank, Shape};
use std::collections::btree_set::Iter;
use std::collections::{BTreeMap, BTreeSet};
use std::iter::Peekable;

/// Iterator over a queue in rank order, which can skip the rest of a shape on the way.
#[derive(Debug)]
pub struct Walk<'a> {
    lines: Vec<Line<'a>>,
}

/// Remaining entries of one shape.
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

    /// Counts a rejected entry of a shape. After `most` rejections the rest of the shape is
    /// skipped, so that tasks that can't be placed delay only tasks of the same shape.
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
