use crate::clock::Time;
use crate::name::Customer;
use crate::ticket::{Home, Issuer, Secret, Ticket, TicketError};
use std::time::Duration;

/// Maximum number of stopped processes whose tickets are still checked. One is needed only as long
/// as its tickets are valid.
const MOST: usize = 256;

/// Issues the tickets of this process, and checks them and those of the processes whose records it
/// took over.
#[derive(Debug)]
pub struct Offices {
    own: Issuer,
    others: Vec<Adopted>,
}

/// Ticket issuer taken over from a process that has stopped.
#[derive(Debug)]
pub struct Adopted {
    /// Checks the tickets of the stopped process.
    pub issuer: Issuer,
    /// Zero of the stopped process's clock on this process's clock, in microseconds. It is negative
    /// if that process started first.
    pub offset_us: i128,
}

/// Data that another process needs to check the tickets of one home.
#[derive(Clone, Debug)]
pub struct PartedOffice {
    /// The home that the tickets name.
    pub home: Home,
    /// Signing secret of the home.
    pub secret: Secret,
    /// Time of the home's clock at the handover.
    pub now: Time,
}

impl Offices {
    /// Starts with only this process's own tickets.
    pub fn new(own: Issuer) -> Self {
        Offices { own, others: Vec::new() }
    }

    /// Issues a ticket that names this process as home.
    pub fn issue(&mut self, customer: &Customer, now: Time, valid: Duration) -> Ticket {
        self.own.issue(customer, now, valid)
    }

    /// Takes over the tickets of a process that has stopped.
    pub fn adopt(&mut self, parted: PartedOffice, now: Time) {
        if self.keeps(&parted.home) {
            return;
        }
        if self.others.len() >= MOST {
            self.others.remove(0);
        }
        let offset_us = i128::from(now.as_micros()) - i128::from(parted.now.as_micros());
        let issuer = Issuer::new(parted.home, parted.secret);
        self.others.push(Adopted { issuer, offset_us });
    }

    /// Returns whether this process holds the records of `home`.
    pub fn keeps(&self, home: &Home) -> bool {
        self.own.home() == home || self.others.iter().any(|other| other.issuer.home() == home)
    }

    /// Verifies a ticket of a home whose records are held here. Returns its expiry on this
    /// process's clock, or `None` if it expired before that clock started.
    pub fn check(&self, ticket: &Ticket, customer: &Customer) -> Result<Option<Time>, TicketError> {
        if *self.own.home() == ticket.home {
            self.own.check(ticket, customer)?;
        } else {
            let other = self.other(&ticket.home).ok_or(TicketError::Forged)?;
            other.issuer.check(ticket, customer)?;
        }
        Ok(self.end(ticket))
    }

    /// Returns the expiry that a ticket states, on this process's clock, without verifying the
    /// ticket. `None` if it expired before that clock started or its records are not held here.
    pub fn end(&self, ticket: &Ticket) -> Option<Time> {
        if *self.own.home() == ticket.home {
            return Some(Time::from_millis(ticket.expires_ms));
        }
        let offset_us = self.other(&ticket.home)?.offset_us;
        let end_us = i128::from(ticket.expires_ms) * 1_000 + offset_us;
        u64::try_from(end_us).ok().map(Time::from_micros)
    }

    /// Returns the data of all homes whose tickets are checked here, for a handover.
    pub fn part(&self, now: Time) -> Vec<PartedOffice> {
        let own = PartedOffice { home: self.own.home().clone(), secret: self.own.secret(), now };
        let other = |other: &Adopted| {
            let there = i128::from(now.as_micros()) - other.offset_us;
            PartedOffice {
                home: other.issuer.home().clone(),
                secret: other.issuer.secret(),
                now: Time::from_micros(u64::try_from(there).unwrap_or(0)),
            }
        };
        std::iter::once(own).chain(self.others.iter().map(other)).collect()
    }

    fn other(&self, home: &Home) -> Option<&Adopted> {
        self.others.iter().find(|other| other.issuer.home() == home)
    }
}
