use super::{TicketError, hex};
use crate::name::{DataCentre, Host, Label};
use std::fmt;

/// Tells two processes at the same address apart; random at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

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
