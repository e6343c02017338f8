//! Removal of queued tasks that are not started by this dispatcher.

use super::{Dispatcher, Waiting};
use crate::clock::Time;
use crate::dispatch::{Needs, Task, WaitKey};

/// Maximum number of unsuitable tasks of one shape that [`Dispatcher::give_away`] examines.
const WINDOW: usize = 64;

impl<T> Dispatcher<T> {
    /// Removes a task from the queue. Returns `None` if it is no longer queued.
    pub fn cancel(&mut self, key: WaitKey) -> Option<T> {
        let waiting = self.waiting.remove(key)?;
        self.fairness.refund(&waiting.task.customer, waiting.charge);
        Some(self.leave_queue(waiting))
    }

    /// Removes all queued tasks whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<T> {
        let due = self.waiting.expire(now);
        due.into_iter().map(|waiting| self.leave_queue(waiting)).collect()
    }

    /// Removes up to `count` of the most urgent `movable` tasks, to be run by a peer.
    pub fn give_away(&mut self, count: usize, movable: impl Fn(&Task, &T) -> bool) -> Vec<T> {
        let mut chosen: Vec<WaitKey> = Vec::new();
        let mut walk = self.waiting.walk();
        while chosen.len() < count
            && let Some((shape, key)) = walk.next()
        {
            let waiting = self.waiting.get(key);
            if waiting.is_some_and(|waiting| movable(&waiting.task, &waiting.payload)) {
                chosen.push(key);
            } else {
                walk.pass(shape, WINDOW);
            }
        }
        chosen.into_iter().filter_map(|key| self.cancel(key)).collect()
    }

    /// Removes all queued tasks that no upstream of this host is large enough for, such as after
    /// an upstream has left.
    pub fn misplaced(&mut self) -> Vec<T> {
        let sizes: Vec<Needs> = self.serving().map(|upstream| upstream.spec.size).collect();
        let holds = |needs: &Needs| sizes.iter().any(|size| size.holds(needs));
        let doubtful = self.waiting.shapes().filter(|shape| !holds(&shape.most()));
        let doubtful = doubtful.flat_map(|shape| self.waiting.alike(shape));
        let unfit = |key: &WaitKey| self.waiting.get(*key).is_some_and(|w| !holds(&w.task.needs));
        let unfit: Vec<WaitKey> = doubtful.filter(unfit).collect();
        unfit.into_iter().filter_map(|key| self.cancel(key)).collect()
    }

    pub(super) fn leave_queue(&mut self, waiting: Waiting<T>) -> T {
        self.backlog = self.backlog.saturating_sub(waiting.expected);
        waiting.payload
    }
}
