//! JSON format of the table of seats in the platform's store.

use heathertrack::name::Host;
use heathertrack::share::{Holder, SEATS, Seat, SeatTable};
use heathertrack::ticket::Incarnation;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// The table of seats, in the form in which it is encoded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seats {
    /// All processes that want or hold seats.
    members: Vec<Member>,
    /// Index of the holder in `members`, by seat number.
    seats: BTreeMap<u16, usize>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Member {
    host: String,
    incarnation: u64,
    /// Whether the process takes part in the division of the seats. False if it only still holds
    /// some.
    wants: bool,
}

/// Error from parsing a table of seats.
#[derive(Debug, Error)]
pub enum SeatsError {
    /// The text is not JSON, or does not have the expected structure.
    #[error("the table of seats is not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The number of this seat, or the index of its holder, is out of range.
    #[error(
        "in the table of seats, the number of seat {0} or the index of its holder is out of range"
    )]
    Range(u16),
}

impl From<&SeatTable> for Seats {
    fn from(table: &SeatTable) -> Self {
        let mut holders: Vec<&Holder> = table.members.iter().collect();
        for holder in table.seats.values() {
            if !holders.contains(&holder) {
                holders.push(holder);
            }
        }
        let member = |holder: &&Holder| Member {
            host: holder.host.to_string(),
            incarnation: holder.incarnation.0,
            wants: table.members.contains(*holder),
        };
        let index = |holder: &Holder| holders.iter().position(|h| *h == holder).unwrap_or(0);
        Seats {
            members: holders.iter().map(member).collect(),
            seats: table.seats.iter().map(|(seat, holder)| (seat.0, index(holder))).collect(),
        }
    }
}

impl TryFrom<Seats> for SeatTable {
    type Error = SeatsError;

    fn try_from(seats: Seats) -> Result<Self, SeatsError> {
        let holder = |member: &Member| Holder {
            host: Host::new(&member.host),
            incarnation: Incarnation(member.incarnation),
        };
        let mut table = SeatTable::default();
        for (seat, index) in seats.seats {
            let member = seats.members.get(index).filter(|_| seat < SEATS);
            let member = member.ok_or(SeatsError::Range(seat))?;
            table.seats.insert(Seat(seat), holder(member));
        }
        let wanting = seats.members.iter().filter(|member| member.wants);
        table.members = wanting.map(holder).collect();
        Ok(table)
    }
}

impl Seats {
    /// Parses the value in the store.
    pub fn decode(value: &[u8]) -> Result<SeatTable, SeatsError> {
        serde_json::from_slice::<Seats>(value)?.try_into()
    }

    /// Returns the value to write to the store.
    pub fn encode(table: &SeatTable) -> Vec<u8> {
        serde_json::to_vec(&Seats::from(table)).expect("a table always serializes to JSON")
    }
}
