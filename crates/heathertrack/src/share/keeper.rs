use super::{Duty, Holder, Seat, Table};
use crate::clock::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Keeps the seats of one process: which it may use, which it gives up, which it takes.
///
/// A seat is used only after the table was read, or written, with this process as its holder.
#[derive(Clone, Debug)]
pub struct Keeper {
    own: Holder,
    /// Seats that the table gives to this process, and from when they may be used.
    confirmed: BTreeMap<Seat, Time>,
    /// Seats out of use here, to be given up.
    retired: BTreeSet<Seat>,
    /// Seats that this process tried to take from one that is gone.
    inherited: BTreeSet<Seat>,
}

impl Keeper {
    /// Keeps no seats yet.
    pub fn new(own: Holder) -> Self {
        Keeper {
            own,
            confirmed: BTreeMap::new(),
            retired: BTreeSet::new(),
            inherited: BTreeSet::new(),
        }
    }

    /// Takes in a table that was read or written just now.
    ///
    /// Seats inherited from a process that is gone lie unused for `quiet`, by when all that it had
    /// handed out or lent has ended.
    pub fn confirm(&mut self, table: &Table, quiet: Duration, now: Time) {
        let held = table.of(&self.own);
        self.confirmed.retain(|seat, _| held.contains(seat));
        for seat in held {
            let from = if self.inherited.contains(&seat) { now + quiet } else { now };
            self.confirmed.entry(seat).or_insert(from);
        }
        let confirmed = &self.confirmed;
        self.retired.retain(|seat| confirmed.contains_key(seat));
        self.inherited.retain(|seat| confirmed.contains_key(seat));
    }

    /// What to write to the table, if anything. Call after [`Keeper::confirm`].
    ///
    /// `gone` tells which other processes are proved to be gone.
    pub fn plan(&mut self, table: &Table, gone: impl Fn(&Holder) -> bool) -> Option<Table> {
        match table.duty(&self.own, gone) {
            Duty::Rest => {
                // Nobody is short any more: what was to be given up may be used on.
                self.retired.clear();
                None
            }
            Duty::Retire(seats) => {
                self.retired = seats.into_iter().collect();
                None
            }
            Duty::Write { table, inherited } => {
                // Noted first: the write may take effect though its answer is lost.
                self.inherited.extend(inherited);
                Some(table)
            }
        }
    }

    /// What to write to give up the retired seats, once nothing that is out or lent needs them.
    ///
    /// Inherited seats that still lie unused are kept: whoever took them up would use them at once.
    pub fn release(&self, table: &Table, now: Time) -> Option<Table> {
        let quiet_is_over = |seat: &&Seat| self.confirmed.get(seat).is_some_and(|at| *at <= now);
        let retired: Vec<Seat> = self.retired.iter().filter(quiet_is_over).copied().collect();
        (!retired.is_empty()).then(|| table.release(&self.own, &retired))
    }

    /// Puts all seats out of use, as the process stops.
    pub fn retire_all(&mut self) {
        self.retired = self.confirmed.keys().copied().collect();
    }

    /// What to write to give up everything, once nothing is out or lent. Inherited seats that
    /// still lie unused are left to whoever proves that this process is gone.
    pub fn leave(&self, table: &Table, now: Time) -> Option<Table> {
        let released = self.release(table, now);
        let without = released.as_ref().unwrap_or(table).withdraw(&self.own);
        (without != *table).then_some(without)
    }

    /// Seats that may be used now.
    pub fn usable(&self, now: Time) -> Vec<Seat> {
        let usable = |(seat, from): (&Seat, &Time)| {
            (*from <= now && !self.retired.contains(seat)).then_some(*seat)
        };
        self.confirmed.iter().filter_map(usable).collect()
    }
}
