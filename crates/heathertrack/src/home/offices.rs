use crate::clock::Time;
use crate::name::Customer;
use crate::ticket::{Home, Issuer, Secret, Ticket, TicketError};
use std::time::Duration;

/// Homes whose tickets are kept at most; each lasts as long as its tickets.
const MOST: usize = 256;

/// Checks the tickets of this process and of those whose records it took over.
#[derive(Debug)]
pub struct Offices {
    own: Issuer,
    others: Vec<Adopted>,
}

/// The tickets of a process that has stopped.
#[derive(Debug)]
pub struct Adopted {
    /// Checks them.
    pub issuer: Issuer,
    /// Start of that process's clock on this one, in microseconds; it may lie before this clock's.
    pub offset_us: i128,
}

/// What another process needs to check the tickets of one home.
#[derive(Clone, Debug)]
pub struct PartedOffice {
    /// The home.
    pub home: Home,
    /// Its signing secret.
    pub secret: Secret,
    /// Its clock now.
    pub now: Time,
}

impl Offices {
    /// Only this process's own tickets.
    pub fn new(own: Issuer) -> Self {
        Offices { own, others: Vec::new() }
    }

    /// Issues a ticket of this process.
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

    /// Whether this process keeps the records of `home`.
    pub fn keeps(&self, home: &Home) -> bool {
        self.own.home() == home || self.others.iter().any(|other| other.issuer.home() == home)
    }

    /// Checks a ticket of a home whose records are kept here; gives its end on this clock, or
    /// `None` if it ended before this clock began.
    pub fn check(&self, ticket: &Ticket, customer: &Customer) -> Result<Option<Time>, TicketError> {
        if *self.own.home() == ticket.home {
            self.own.check(ticket, customer)?;
        } else {
            let other = self.other(&ticket.home).ok_or(TicketError::Forged)?;
            other.issuer.check(ticket, customer)?;
        }
        Ok(self.end(ticket))
    }

    /// End of a ticket on this clock, as it says itself; `None` if it ended before this clock
    /// began, or if its home is not kept here.
    pub fn end(&self, ticket: &Ticket) -> Option<Time> {
        if *self.own.home() == ticket.home {
            return Some(Time::from_millis(ticket.expires_ms));
        }
        let offset_us = self.other(&ticket.home)?.offset_us;
        let end_us = i128::from(ticket.expires_ms) * 1_000 + offset_us;
        u64::try_from(end_us).ok().map(Time::from_micros)
    }

    /// All homes kept here, to be handed on.
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
