use super::{TicketError, hex};
use crate::name::{DataCentre, Host, Label};
use std::fmt;

/// Tells two processes at the same address apart; the later one has the larger number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// Bits of an incarnation that are drawn at random.
const RANDOM_BITS: u32 = 20;

impl Incarnation {
    /// The incarnation of a process that starts at this wall time, in Unix milliseconds.
    pub fn at_start(wall_ms: u64, random: u64) -> Self {
        let low = random & ((1 << RANDOM_BITS) - 1);
        Incarnation(wall_ms << RANDOM_BITS | low)
    }

    /// Wall time at which the process started, in Unix milliseconds.
    pub fn started_ms(self) -> u64 {
        self.0 >> RANDOM_BITS
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The one process that may start a submission.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Home {
    /// Data centre of the process.
    pub data_centre: DataCentre,
    /// Entry host of the process.
    pub host: Host,
    /// The process itself.
    pub incarnation: Incarnation,
}

impl Home {
    /// Reads a home from its three fields.
    pub fn parse(data_centre: &str, host: &str, incarnation: &str) -> Result<Self, TicketError> {
        let label = |text| Label::parse(text).map_err(|_| TicketError::Malformed);
        Ok(Home {
            data_centre: DataCentre::new(label(data_centre)?.as_str()),
            host: Host::new(label(host)?.as_str()),
            incarnation: Incarnation(hex(incarnation)?),
        })
    }
}
