use super::pool::{LONGEST_MS, PAUSE, SPARE_MS};
use heathertrack::clock::{Stall, Time};
use heathertrack::name::{Customer, Host};
use heathertrack::share::{Account, Holder, Keeper, SEATS, Table, portion};
use heathertrack::ticket::Incarnation;
use std::time::Duration;

/// What the customer may use.
#[derive(Clone, Copy, Debug)]
pub struct Allowed {
    pub tasks: u32,
    pub rate: f64,
    pub burst: f64,
}

/// One process that shares the allowance.
pub struct Node {
    pub account: Account<usize>,
    pub keeper: Keeper,
    pub holder: Holder,
    pub stall: Stall,
    pub frozen: bool,
    pub leaving: bool,
    allowed: Allowed,
    started_ms: u64,
}

pub fn customer() -> Customer {
    Customer::new("kadriorg-crafts")
}

/// For how long inherited seats lie unused.
pub fn quiet() -> Duration {
    Duration::from_millis(LONGEST_MS + 2 * SPARE_MS)
}

impl Node {
    pub fn new(allowed: Allowed, host: usize, incarnation: u64, now_ms: u64) -> Self {
        let holder =
            Holder { host: Host::new(format!("e{host}")), incarnation: Incarnation(incarnation) };
        Node {
            account: Account::new(incarnation << 32, Time::ZERO),
            keeper: Keeper::new(holder.clone()),
            holder,
            stall: Stall::new(PAUSE, Time::ZERO),
            frozen: false,
            leaving: false,
            allowed,
            started_ms: now_ms,
        }
    }

    /// This process's own clock.
    pub fn now(&self, now_ms: u64) -> Time {
        Time::from_millis(now_ms - self.started_ms)
    }

    /// Takes in the table, as the daemon does after it was read or written.
    pub fn confirm(&mut self, table: &Table, quiet: Duration, now_ms: u64) {
        let now = self.now(now_ms);
        self.keeper.confirm(table, quiet, now);
        self.stall.clear(now);
        self.split(now);
    }

    /// Puts the usable seats into force.
    pub fn split(&mut self, now: Time) {
        let seats = self.keeper.usable(now);
        let fraction = seats.len() as f64 / f64::from(SEATS);
        let Allowed { tasks, rate, burst } = self.allowed;
        let tasks = portion(tasks, &customer(), seats);
        self.account.set_part(tasks, rate * fraction, burst * fraction, now);
    }

    /// Whether all that is out or lent fits into the present part.
    pub fn fits(&mut self, now: Time) -> bool {
        self.account.collect(now);
        self.account.committed() <= self.account.part()
    }
}
