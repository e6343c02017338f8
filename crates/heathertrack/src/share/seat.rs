use crate::name::{Customer, Host};
use crate::ticket::Incarnation;

/// Seats into which each allowance is cut; divides evenly by 1 to 6 hosts.
pub const SEATS: u16 = 60;

/// Number of a seat, below [`SEATS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Seat(pub u16);

/// The process that has a seat.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder {
    /// Its host.
    pub host: Host,
    /// The process.
    pub incarnation: Incarnation,
}

/// The part of `whole` that belongs to these seats, exact in sum over all seats.
///
/// What does not divide evenly goes to seats that differ from customer to customer.
pub fn portion(whole: u32, customer: &Customer, seats: impl IntoIterator<Item = Seat>) -> u32 {
    let each = whole / u32::from(SEATS);
    let rest = whole % u32::from(SEATS);
    let offset = offset(customer);
    let of_seat = |seat: Seat| {
        let place = (u32::from(seat.0) + offset) % u32::from(SEATS);
        each + u32::from(has_one_more(place, rest))
    };
    seats.into_iter().map(of_seat).sum()
}

/// Whether the seat at this place gets one of the `rest`, spaced evenly over all places.
fn has_one_more(place: u32, rest: u32) -> bool {
    let before = place * rest / u32::from(SEATS);
    let after = (place + 1) * rest / u32::from(SEATS);
    after > before
}

fn offset(customer: &Customer) -> u32 {
    let hash = customer
        .as_str()
        .bytes()
        .fold(17_u32, |hash, byte| hash.wrapping_mul(31).wrapping_add(u32::from(byte)));
    hash % u32::from(SEATS)
}
