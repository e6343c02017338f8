use crate::clock::Time;
use crate::name::Customer;
use crate::ticket::{Home, Issuer, Secret, Ticket, TicketError};
use std::time::Duration;

/// Maximum number of stopped processes whose tickets are still checked; beyond it the one adopted
/// first is dropped. An entry is needed only while tickets of the process are valid.
const MAX_ADOPTED: usize = 256;

/// Issues the tickets of this process, and checks them and those of the processes whose records it
/// took over.
#[derive(Debug)]
pub struct TicketAuthority {
    own: Issuer,
    adopted: Vec<AdoptedIssuer>,
}

/// Ticket issuer taken over from a process that has stopped.
#[derive(Debug)]
pub struct AdoptedIssuer {
    /// Checks the tickets of the stopped process.
    pub issuer: Issuer,
    /// Time of this process's clock minus that of the stopped process's clock, in microseconds. It
    /// is negative if the stopped process started first.
    pub offset_us: i128,
}

/// Data that another process needs to check the tickets of one home.
#[derive(Clone, Debug)]
pub struct TicketHandover {
    /// The home that the tickets name.
    pub home: Home,
    /// Signing secret of the home.
    pub secret: Secret,
    /// Time of the home's clock at the handover.
    pub now: Time,
}

impl TicketAuthority {
    /// Starts with only this process's own tickets.
    pub fn new(own: Issuer) -> Self {
        TicketAuthority { own, adopted: Vec::new() }
    }

    /// Issues a ticket that names this process as home and expires `validity` from `now`.
    pub fn issue(&mut self, customer: &Customer, now: Time, validity: Duration) -> Ticket {
        self.own.issue(customer, now, validity)
    }

    /// Takes over the tickets of a process that has stopped. `now` is the time of the handover on
    /// this process's clock.
    pub fn adopt(&mut self, handover: TicketHandover, now: Time) {
        if self.holds_records_of(&handover.home) {
            return;
        }
        if self.adopted.len() >= MAX_ADOPTED {
            self.adopted.remove(0);
        }
        let offset_us = i128::from(now.as_micros()) - i128::from(handover.now.as_micros());
        let issuer = Issuer::new(handover.home, handover.secret);
        self.adopted.push(AdoptedIssuer { issuer, offset_us });
    }

    /// Returns whether this process holds the records of `home`.
    pub fn holds_records_of(&self, home: &Home) -> bool {
        self.own.home() == home || self.adopted.iter().any(|other| other.issuer.home() == home)
    }

    /// Verifies a ticket of a home whose records are held here. Returns its expiry on this
    /// process's clock, or `None` if it expired before that clock started.
    pub fn check(&self, ticket: &Ticket, customer: &Customer) -> Result<Option<Time>, TicketError> {
        if *self.own.home() == ticket.home {
            self.own.check(ticket, customer)?;
        } else {
            let other = self.adopted_issuer(&ticket.home).ok_or(TicketError::Forged)?;
            other.issuer.check(ticket, customer)?;
        }
        Ok(self.expiry(ticket))
    }

    /// Returns the expiry that a ticket states, on this process's clock, without verifying the
    /// ticket. Returns `None` if it expired before that clock started, or if the records of its
    /// home are not held here.
    pub fn expiry(&self, ticket: &Ticket) -> Option<Time> {
        if *self.own.home() == ticket.home {
            return Some(Time::from_millis(ticket.expires_ms));
        }
        let offset_us = self.adopted_issuer(&ticket.home)?.offset_us;
        let expiry_us = i128::from(ticket.expires_ms) * 1_000 + offset_us;
        u64::try_from(expiry_us).ok().map(Time::from_micros)
    }

    /// Returns the data of all homes whose tickets are checked here, for a handover.
    pub fn export(&self, now: Time) -> Vec<TicketHandover> {
        let own = TicketHandover { home: self.own.home().clone(), secret: self.own.secret(), now };
        let export = |other: &AdoptedIssuer| {
            let other_now_us = i128::from(now.as_micros()) - other.offset_us;
            TicketHandover {
                home: other.issuer.home().clone(),
                secret: other.issuer.secret(),
                now: Time::from_micros(u64::try_from(other_now_us).unwrap_or(0)),
            }
        };
        std::iter::once(own).chain(self.adopted.iter().map(export)).collect()
    }

    fn adopted_issuer(&self, home: &Home) -> Option<&AdoptedIssuer> {
        self.adopted.iter().find(|other| other.issuer.home() == home)
    }
}
