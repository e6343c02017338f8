use super::{Holder, SEATS, Seat};
use std::collections::{BTreeMap, BTreeSet};

/// Assignment of seats to processes, held in the platform's store.
///
/// Every change is one compare-and-swap, written by the process that gains the seats or by the one
/// that releases them. No process takes a seat from another that might still use it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SeatTable {
    /// Holder of each assigned seat.
    pub seats: BTreeMap<Seat, Holder>,
    /// Processes among which the seats are divided.
    pub members: BTreeSet<Holder>,
}

/// Next step of a process according to the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SeatAction {
    /// Change nothing.
    NoChange,
    /// Write this table. It may assign more seats to this process and change the members.
    Write {
        /// The table to write.
        table: SeatTable,
        /// Seats taken from processes that are gone. They are usable once the last tasks of those
        /// processes must have ended.
        inherited: Vec<Seat>,
    },
    /// Stop using these seats, and call [`SeatTable::release`] once nothing depends on them.
    Retire(Vec<Seat>),
}

impl SeatTable {
    /// Returns the seats that a process holds.
    pub fn seats_of(&self, holder: &Holder) -> Vec<Seat> {
        let held = self.seats.iter().filter(|(_, other)| *other == holder);
        held.map(|(seat, _)| *seat).collect()
    }

    /// Returns the next step of the process `own`. `gone` returns whether another process is known
    /// for certain to be gone.
    pub fn next_action(&self, own: &Holder, gone: impl Fn(&Holder) -> bool) -> SeatAction {
        let mut table = self.clone();
        table.members.insert(own.clone());
        table.members.retain(|member| member == own || !is_replaced_or_gone(member, own, &gone));
        let inherited = table.reassign(own, |holder| is_replaced_or_gone(holder, own, &gone));
        let target = table.target_seats(own);
        table.assign_free(own, target);
        let held = table.seats_of(own);
        if table != *self {
            return SeatAction::Write { table, inherited };
        }
        if held.len() > target && table.any_member_below_target() {
            let surplus = held.len() - target;
            return SeatAction::Retire(held.into_iter().rev().take(surplus).collect());
        }
        SeatAction::NoChange
    }

    /// Returns the table without these seats of `own`.
    pub fn release(&self, own: &Holder, seats: &[Seat]) -> SeatTable {
        let mut table = self.clone();
        table.seats.retain(|seat, holder| holder != own || !seats.contains(seat));
        table
    }

    /// Returns the table without `own` among its members.
    pub fn withdraw(&self, own: &Holder) -> SeatTable {
        let mut table = self.clone();
        table.members.remove(own);
        table
    }

    /// Returns the number of seats that a member should hold: an equal part, plus one of the
    /// remainder for the first members in order.
    fn target_seats(&self, holder: &Holder) -> usize {
        let count = self.members.len().max(1);
        let position = self.members.iter().position(|member| member == holder).unwrap_or(0);
        let seats = usize::from(SEATS);
        seats / count + usize::from(position < seats % count)
    }

    /// Assigns the seats of all holders that are `replaceable` to `own`, and returns these seats.
    fn reassign(&mut self, own: &Holder, replaceable: impl Fn(&Holder) -> bool) -> Vec<Seat> {
        let mut taken = Vec::new();
        for (seat, holder) in &mut self.seats {
            if holder != own && replaceable(holder) {
                *holder = own.clone();
                taken.push(*seat);
            }
        }
        taken
    }

    /// Assigns unheld seats to `own` until it holds `target` or none is left.
    fn assign_free(&mut self, own: &Holder, target: usize) {
        let wanted = target.saturating_sub(self.seats_of(own).len());
        let free = (0..SEATS).map(Seat).filter(|seat| !self.seats.contains_key(seat));
        let taken: Vec<Seat> = free.take(wanted).collect();
        for seat in taken {
            self.seats.insert(seat, own.clone());
        }
    }

    fn any_member_below_target(&self) -> bool {
        self.members.iter().any(|member| self.seats_of(member).len() < self.target_seats(member))
    }
}

/// Returns whether another process is known not to use its seats any more: it is `gone`, or `own`
/// is a later process of the same host.
fn is_replaced_or_gone(other: &Holder, own: &Holder, gone: impl Fn(&Holder) -> bool) -> bool {
    // The high bits of an incarnation are its start time, so the later process has the larger
    // value.
    let replaced = other.host == own.host && other.incarnation < own.incarnation;
    replaced || (other != own && gone(other))
}
