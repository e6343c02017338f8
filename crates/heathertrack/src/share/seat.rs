use crate::name::{Customer, Host};
use crate::ticket::Incarnation;

/// Number of seats into which each allowance is divided. It is divisible by each number from 1 to
/// 6, so that up to 6 hosts can hold equal numbers of seats.
pub const SEATS: u16 = 60;

/// Index of a seat, below [`SEATS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Seat(pub u16);

/// Process that holds seats.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder {
    /// Name of the host on which it runs.
    pub host: Host,
    /// Tells it from earlier and later processes of the host.
    pub incarnation: Incarnation,
}

/// Returns the part of `total` that belongs to `seats`. The parts of all seats add up to `total`.
///
/// The remainder of the division is spread over seats that differ between customers.
pub fn seats_share(total: u32, customer: &Customer, seats: impl IntoIterator<Item = Seat>) -> u32 {
    let each = total / u32::from(SEATS);
    let remainder = total % u32::from(SEATS);
    let offset = customer_offset(customer);
    let part_of_seat = |seat: Seat| {
        let position = (u32::from(seat.0) + offset) % u32::from(SEATS);
        each + u32::from(gets_remainder_unit(position, remainder))
    };
    seats.into_iter().map(part_of_seat).sum()
}

/// Returns whether the seat at `position` gets one unit of `remainder`. The units are spread evenly
/// over the positions.
fn gets_remainder_unit(position: u32, remainder: u32) -> bool {
    let before = position * remainder / u32::from(SEATS);
    let after = (position + 1) * remainder / u32::from(SEATS);
    after > before
}

/// Returns the offset of a customer's positions, from a polynomial hash of its name that is the
/// same on all hosts.
fn customer_offset(customer: &Customer) -> u32 {
    let hash = customer
        .as_str()
        .bytes()
        .fold(17_u32, |hash, byte| hash.wrapping_mul(31).wrapping_add(u32::from(byte)));
    hash % u32::from(SEATS)
}
