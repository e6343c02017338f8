//! Removal of queued tasks that this dispatcher will not start: tasks that are cancelled, expired,
//! moved to a peer, or too large for its upstreams.

use super::{Dispatcher, QueuedTask};
use crate::clock::Time;
use crate::dispatch::{Needs, QueueKey, Task};

/// Number of tasks of one shape that are not movable after which [`Dispatcher::take_for_peer`]
/// skips the rest of the shape.
const MAX_UNMOVABLE_PER_SHAPE: usize = 64;

impl<T> Dispatcher<T> {
    /// Removes a task from the queue and refunds its charge. Returns `None` if it is no longer
    /// queued.
    pub fn cancel(&mut self, key: QueueKey) -> Option<T> {
        let queued = self.queue.remove(key)?;
        self.fairness.refund(&queued.task.customer, queued.charge);
        Some(self.remove_from_backlog(queued))
    }

    /// Removes all queued tasks whose deadline has passed. Their charges are not refunded.
    pub fn expire(&mut self, now: Time) -> Vec<T> {
        let due = self.queue.expire(now);
        due.into_iter().map(|queued| self.remove_from_backlog(queued)).collect()
    }

    /// Removes up to `count` tasks for which `movable` returns true, in rank order, to be run by a
    /// peer.
    pub fn take_for_peer(&mut self, count: usize, movable: impl Fn(&Task, &T) -> bool) -> Vec<T> {
        let mut chosen: Vec<QueueKey> = Vec::new();
        let mut walk = self.queue.walk();
        while chosen.len() < count
            && let Some((shape, key)) = walk.next()
        {
            let queued = self.queue.get(key);
            if queued.is_some_and(|queued| movable(&queued.task, &queued.payload)) {
                chosen.push(key);
            } else {
                walk.reject(shape, MAX_UNMOVABLE_PER_SHAPE);
            }
        }
        chosen.into_iter().filter_map(|key| self.cancel(key)).collect()
    }

    /// Removes all queued tasks that no upstream of this host is large enough for, such as after
    /// an upstream has left.
    pub fn take_unplaceable(&mut self) -> Vec<T> {
        let sizes: Vec<Needs> = self.serving().map(|upstream| upstream.spec.size).collect();
        let holds = |needs: &Needs| sizes.iter().any(|size| size.holds(needs));
        // Each task of a shape fits where the upper bound of the shape fits, so only the tasks of
        // the other shapes are examined one by one.
        let candidates = self.queue.shapes().filter(|shape| !holds(&shape.upper_bound()));
        let candidates = candidates.flat_map(|shape| self.queue.keys_of_shape(shape));
        let unplaceable =
            |key: &QueueKey| self.queue.get(*key).is_some_and(|queued| !holds(&queued.task.needs));
        let unplaceable: Vec<QueueKey> = candidates.filter(unplaceable).collect();
        unplaceable.into_iter().filter_map(|key| self.cancel(key)).collect()
    }

    /// Subtracts a task that left the queue from the backlog, and returns its payload.
    pub(super) fn remove_from_backlog(&mut self, queued: QueuedTask<T>) -> T {
        self.backlog = self.backlog.saturating_sub(queued.expected);
        queued.payload
    }
}
