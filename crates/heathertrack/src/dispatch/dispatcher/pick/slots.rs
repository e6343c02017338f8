use crate::clock::Time;
use crate::dispatch::{ExpectedEnd, Needs, Upstream, UpstreamKey};
use std::time::Duration;

/// Snapshot of one upstream, taken once for each choice.
pub(super) struct Slots {
    pub key: UpstreamKey,
    pub slowness: f64,
    /// Number of free slots.
    free: usize,
    /// Free capacity of the worker.
    room: Needs,
    ends: Vec<ExpectedEnd>,
}

/// Capacity reserved on an upstream for tasks ahead in the queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Kept {
    tasks: usize,
    needs: Needs,
    /// Time until the last of these tasks can start.
    opening: Duration,
}

impl Kept {
    /// Reserves capacity for one more task, which can start after `opening`.
    pub fn keep(&mut self, needs: &Needs, opening: Duration) {
        self.tasks += 1;
        self.needs = self.needs.plus(needs);
        self.opening = self.opening.max(opening);
    }
}

impl Slots {
    pub fn of(key: UpstreamKey, upstream: &Upstream, now: Time) -> Self {
        Slots {
            key,
            slowness: upstream.slowness(now),
            free: upstream.free_slots(),
            room: upstream.room(),
            ends: upstream.expected_ends(now),
        }
    }

    /// Whether a task of these needs can start now, reservations aside.
    pub fn has_room(&self, needs: &Needs) -> bool {
        self.free > 0 && self.room.holds(needs)
    }

    /// Whether a task can start now without delaying the tasks that hold reservations: it ends
    /// before they start, or it still fits beside them when the last of them can start.
    pub fn has_room_beside(&self, kept: &Kept, needs: &Needs, expected: Duration) -> bool {
        let ends_before = expected.mul_f64(self.slowness) <= kept.opening;
        let beside = || self.opening(kept, needs).is_some_and(|at| at <= kept.opening);
        self.has_room(needs) && (ends_before || beside())
    }

    /// Time until a task of these needs fits beside the reservations; `None` if it never does.
    pub fn opening(&self, kept: &Kept, needs: &Needs) -> Option<Duration> {
        let wanted = kept.needs.plus(needs);
        let mut free = self.free;
        let mut room = self.room;
        if free > kept.tasks && room.holds(&wanted) {
            return Some(Duration::ZERO);
        }
        for end in &self.ends {
            free += 1;
            room = room.plus(&end.needs);
            if free > kept.tasks && room.holds(&wanted) {
                return Some(end.after);
            }
        }
        None
    }
}
