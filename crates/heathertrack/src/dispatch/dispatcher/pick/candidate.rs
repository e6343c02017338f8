use crate::clock::Time;
use crate::dispatch::{ExpectedEnd, Needs, Upstream, UpstreamKey};
use std::time::Duration;

/// Snapshot of an upstream, taken anew each time a task is picked.
pub(super) struct Candidate {
    pub key: UpstreamKey,
    /// Ratio of run time to that at nominal speed.
    pub slowness: f64,
    /// Number of free slots.
    free_slots: usize,
    /// Free capacity of the worker.
    free_capacity: Needs,
    /// Expected ends of its running tasks, earliest first.
    ends: Vec<ExpectedEnd>,
}

/// Capacity reserved on an upstream for tasks ahead in the queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Reservation {
    /// Number of tasks.
    tasks: usize,
    /// Total needs of the tasks.
    needs: Needs,
    /// Time until the last of these tasks can start.
    startable_after: Duration,
}

impl Reservation {
    /// Reserves capacity for one more task, which can start after `startable_after`.
    pub fn add(&mut self, needs: &Needs, startable_after: Duration) {
        self.tasks += 1;
        self.needs = self.needs.plus(needs);
        self.startable_after = self.startable_after.max(startable_after);
    }
}

impl Candidate {
    pub fn of(key: UpstreamKey, upstream: &Upstream, now: Time) -> Self {
        Candidate {
            key,
            slowness: upstream.slowness(now),
            free_slots: upstream.free_slots(),
            free_capacity: upstream.free_capacity(),
            ends: upstream.expected_ends(now),
        }
    }

    /// Whether a task of these needs can start now, reservations aside.
    pub fn fits_now(&self, needs: &Needs) -> bool {
        self.free_slots > 0 && self.free_capacity.holds(needs)
    }

    /// Whether a task can start now without delaying the tasks that hold reservations: it ends
    /// before they start, or it still fits beside them when the last of them can start.
    pub fn fits_beside(
        &self,
        reservation: &Reservation,
        needs: &Needs,
        expected: Duration,
    ) -> bool {
        let ends_before = expected.mul_f64(self.slowness) <= reservation.startable_after;
        let beside = || {
            self.time_until_fit(reservation, needs)
                .is_some_and(|at| at <= reservation.startable_after)
        };
        self.fits_now(needs) && (ends_before || beside())
    }

    /// Time until a task of these needs fits beside the reservations; `None` if it never does.
    pub fn time_until_fit(&self, reservation: &Reservation, needs: &Needs) -> Option<Duration> {
        let required = reservation.needs.plus(needs);
        let mut free_slots = self.free_slots;
        let mut free_capacity = self.free_capacity;
        if free_slots > reservation.tasks && free_capacity.holds(&required) {
            return Some(Duration::ZERO);
        }
        for end in &self.ends {
            free_slots += 1;
            free_capacity = free_capacity.plus(&end.needs);
            if free_slots > reservation.tasks && free_capacity.holds(&required) {
                return Some(end.after);
            }
        }
        None
    }
}
