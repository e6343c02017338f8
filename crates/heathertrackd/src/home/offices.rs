use heathertrack::clock::Time;
use heathertrack::name::Customer;
use heathertrack::ticket::{Home, Issuer, Ticket, TicketError};
use std::time::Duration;

/// Tickets taken over are kept for this many homes at most.
const MOST: usize = 64;

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
    /// Start of that process's clock on this one; earlier than the start of this clock perhaps.
    pub offset_us: i128,
}

impl Offices {
    /// Only this process's own tickets.
    pub fn new(own: Issuer) -> Self {
        Offices {
            own,
            others: Vec::new(),
        }
    }

    /// Issues a ticket of this process.
    pub fn issue(&mut self, customer: &Customer, now: Time, valid: Duration) -> Ticket {
        self.own.issue(customer, now, valid)
    }

    /// Takes over the tickets of a process that has stopped.
    pub fn adopt(&mut self, adopted: Adopted) {
        if self.others.len() >= MOST {
            self.others.remove(0);
        }
        self.others.push(adopted);
    }

    /// Whether this process keeps the records of `home`.
    pub fn keeps(&self, home: &Home) -> bool {
        self.own.home() == home || self.others.iter().any(|other| other.issuer.home() == home)
    }

    /// Checks a ticket of a home whose records are kept here; gives its end on this clock.
    pub fn check(&self, ticket: &Ticket, customer: &Customer) -> Result<Time, TicketError> {
        if *self.own.home() == ticket.home {
            self.own.check(ticket, customer)?;
            return Ok(Time::from_millis(ticket.expires_ms));
        }
        let kept = self
            .others
            .iter()
            .find(|other| *other.issuer.home() == ticket.home);
        let other = kept.ok_or(TicketError::Forged)?;
        other.issuer.check(ticket, customer)?;
        let end = i128::from(ticket.expires_ms) * 1_000 + other.offset_us;
        Ok(Time::from_micros(u64::try_from(end).unwrap_or(0)))
    }

    /// All homes with their secrets and their clocks' time now, to be handed on.
    pub fn part(&self, now: Time) -> Vec<(Home, [u8; 32], u64)> {
        let own = (
            self.own.home().clone(),
            self.own.secret().0,
            now.as_micros(),
        );
        let other = |other: &Adopted| {
            let there = i128::from(now.as_micros()) - other.offset_us;
            let there = u64::try_from(there).unwrap_or(0);
            (other.issuer.home().clone(), other.issuer.secret().0, there)
        };
        std::iter::once(own)
            .chain(self.others.iter().map(other))
            .collect()
    }
}
