use super::{Holder, Seat, SeatAction, SeatTable};
use crate::clock::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Manages the seats of one process: which it may use, release or take.
///
/// A seat is used only after a read or a successful write of the table showed this process as its
/// holder.
#[derive(Clone, Debug)]
pub struct SeatManager {
    own: Holder,
    /// Seats that the table assigns to this process, and the time from which they may be used.
    confirmed: BTreeMap<Seat, Time>,
    /// Seats that this process no longer uses and is about to release.
    retired: BTreeSet<Seat>,
    /// Seats that this process tried to take from one that is gone. The write may have failed, so
    /// seats that the next table does not assign to this process are removed.
    inherited: BTreeSet<Seat>,
}

impl SeatManager {
    /// Starts without seats.
    pub fn new(own: Holder) -> Self {
        SeatManager {
            own,
            confirmed: BTreeMap::new(),
            retired: BTreeSet::new(),
            inherited: BTreeSet::new(),
        }
    }

    /// Updates the confirmed seats from a table that was just read or written.
    ///
    /// Seats taken from a process that is gone stay unused for `quiet_period`, until all tasks and
    /// loans of that process have ended.
    pub fn confirm(&mut self, table: &SeatTable, quiet_period: Duration, now: Time) {
        let held = table.seats_of(&self.own);
        self.confirmed.retain(|seat, _| held.contains(seat));
        for seat in held {
            let usable_from = if self.inherited.contains(&seat) { now + quiet_period } else { now };
            self.confirmed.entry(seat).or_insert(usable_from);
        }
        let confirmed = &self.confirmed;
        self.retired.retain(|seat| confirmed.contains_key(seat));
        self.inherited.retain(|seat| confirmed.contains_key(seat));
    }

    /// Returns the table to write if this process should take seats or the members have changed,
    /// and updates the retired seats. Call it after [`SeatManager::confirm`].
    ///
    /// `gone` returns whether another process is known for certain to be gone.
    pub fn plan(&mut self, table: &SeatTable, gone: impl Fn(&Holder) -> bool) -> Option<SeatTable> {
        match table.next_action(&self.own, gone) {
            SeatAction::NoChange => {
                // No surplus has to be released any more, so the retired seats may be used again.
                self.retired.clear();
                None
            }
            SeatAction::Retire(seats) => {
                self.retired = seats.into_iter().collect();
                None
            }
            SeatAction::Write { table, inherited } => {
                // Recorded before the write, which may succeed although its response is lost.
                self.inherited.extend(inherited);
                Some(table)
            }
        }
    }

    /// Returns the table to write to release the retired seats, if there are any. Call it once the
    /// tasks in flight and the loans fit into the remaining seats.
    ///
    /// Inherited seats whose quiet period is not over are kept, as the next holder would use them
    /// at once.
    pub fn release(&self, table: &SeatTable, now: Time) -> Option<SeatTable> {
        let quiet_period_is_over =
            |seat: &&Seat| self.confirmed.get(seat).is_some_and(|usable_from| *usable_from <= now);
        let retired: Vec<Seat> =
            self.retired.iter().filter(quiet_period_is_over).copied().collect();
        (!retired.is_empty()).then(|| table.release(&self.own, &retired))
    }

    /// Retires all seats, because the process stops.
    pub fn retire_all(&mut self) {
        self.retired = self.confirmed.keys().copied().collect();
    }

    /// Returns the table to write to release the retired seats and leave the members, if that
    /// changes the table. Call it after [`SeatManager::retire_all`], once no task is in flight and
    /// nothing is lent. Inherited seats whose quiet period is not over stay until another process
    /// has proof that this one is gone and takes them.
    pub fn release_all(&self, table: &SeatTable, now: Time) -> Option<SeatTable> {
        let released = self.release(table, now);
        let withdrawn = released.as_ref().unwrap_or(table).withdraw(&self.own);
        (withdrawn != *table).then_some(withdrawn)
    }

    /// Returns the seats that may be used now.
    pub fn usable(&self, now: Time) -> Vec<Seat> {
        let usable = |(seat, usable_from): (&Seat, &Time)| {
            (*usable_from <= now && !self.retired.contains(seat)).then_some(*seat)
        };
        self.confirmed.iter().filter_map(usable).collect()
    }
}
