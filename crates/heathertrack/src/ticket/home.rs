use super::{TicketError, parse_hex};
use crate::name::{DataCentre, Host, Label};
use std::fmt;

/// Identifies one process among those that run on a host one after another. A later process has a
/// larger number, as the high bits are the wall time of its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// Number of random low bits of an incarnation.
const RANDOM_BITS: u32 = 20;

impl Incarnation {
    /// Creates the incarnation of a process that starts at `wall_ms` (Unix milliseconds). The low
    /// bits are taken from `random`.
    pub fn at_start(wall_ms: u64, random: u64) -> Self {
        let low = random & ((1 << RANDOM_BITS) - 1);
        Incarnation(wall_ms << RANDOM_BITS | low)
    }

    /// Returns the wall time at which the process started, in Unix milliseconds.
    pub fn started_ms(self) -> u64 {
        self.0 >> RANDOM_BITS
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Process that holds the records of the jobs submitted under a key. Only it, or after a handover
/// its successor, may start them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Home {
    /// Data centre of the process.
    pub data_centre: DataCentre,
    /// Entry host of the process.
    pub host: Host,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

impl Home {
    /// Parses a home from its fields in the text of a ticket.
    pub fn parse(data_centre: &str, host: &str, incarnation: &str) -> Result<Self, TicketError> {
        let label = |text| Label::parse(text).map_err(|_| TicketError::Malformed);
        Ok(Home {
            data_centre: DataCentre::new(label(data_centre)?.as_str()),
            host: Host::new(label(host)?.as_str()),
            incarnation: Incarnation(parse_hex(incarnation)?),
        })
    }
}
