//! Waiting tasks that leave the queue without being started here.

use super::{Dispatcher, Waiting};
use crate::clock::Time;
use crate::dispatch::{Needs, Task, WaitKey};

/// Tasks of one shape looked at, beyond those that are given away.
const WINDOW: usize = 64;

impl<T> Dispatcher<T> {
    /// Takes a waiting task out, if it still waits.
    pub fn cancel(&mut self, key: WaitKey) -> Option<T> {
        let waiting = self.waiting.remove(key)?;
        self.fairness.refund(&waiting.task.customer, waiting.charge);
        Some(self.leave_queue(waiting))
    }

    /// Takes out every waiting task whose deadline has come.
    pub fn expire(&mut self, now: Time) -> Vec<T> {
        let due = self.waiting.expire(now);
        due.into_iter().map(|waiting| self.leave_queue(waiting)).collect()
    }

    /// Takes out the most urgent tasks that wait, at most `count`, to be run by a peer.
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

    /// Takes out every waiting task that none of this host's upstreams can ever hold, as after
    /// one has left.
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
