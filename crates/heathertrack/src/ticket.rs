//! Tickets, under which callers submit jobs; each names the process that holds the records.

mod home;
mod issuer;

pub use home::{Home, Incarnation};
pub use issuer::{Issuer, Secret};

use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Permission to submit jobs. Only the process that it names as home, or that process's successor,
/// may start them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Process that holds the records of this ticket.
    pub home: Home,
    /// Sequence number among the tickets of that process.
    pub serial: u64,
    /// Expiry in milliseconds on the home's monotonic clock.
    pub expires_ms: u64,
    /// Message authentication code of the serial, the expiry and the customer, truncated to 64
    /// bits.
    pub tag: u64,
}

/// Reason why a ticket is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TicketError {
    /// The text is not a valid ticket.
    #[error("the ticket is malformed")]
    Malformed,
    /// The ticket was not issued to this customer by this home.
    #[error("the ticket was not issued to this customer")]
    Forged,
}

/// First field of a ticket's text.
const PREFIX: &str = "t1";

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Ticket { home, serial, expires_ms, tag } = self;
        let incarnation = home.incarnation.0;
        write!(f, "{PREFIX}.{}.{}.", home.data_centre, home.host)?;
        write!(f, "{incarnation:016x}.{serial:x}.{expires_ms:x}.{tag:016x}")
    }
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let fields: Vec<&str> = text.split('.').collect();
        let [PREFIX, data_centre, host, incarnation, serial, expires_ms, tag] = fields[..] else {
            return Err(TicketError::Malformed);
        };
        let home = Home::parse(data_centre, host, incarnation)?;
        let ticket = Ticket {
            home,
            serial: parse_hex(serial)?,
            expires_ms: parse_hex(expires_ms)?,
            tag: parse_hex(tag)?,
        };
        // Only the canonical spelling is accepted, so that one key can't be written in two ways.
        if ticket.to_string() == text { Ok(ticket) } else { Err(TicketError::Malformed) }
    }
}

fn parse_hex(text: &str) -> Result<u64, TicketError> {
    u64::from_str_radix(text, 16).map_err(|_| TicketError::Malformed)
}
