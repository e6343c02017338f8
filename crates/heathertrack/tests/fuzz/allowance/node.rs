use super::cluster::{LOAN_MARGIN_MS, MAX_DEADLINE_MS, PAUSE};
use heathertrack::clock::{Stall, Time};
use heathertrack::name::{Customer, Host};
use heathertrack::share::{Account, Holder, SEATS, SeatManager, SeatTable, seats_share};
use heathertrack::ticket::Incarnation;
use std::time::Duration;

/// Allowance of the customer.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Maximum number of concurrent tasks.
    pub tasks: u32,
    /// Starts per second.
    pub rate: f64,
    /// Number of starts that may happen at once, beyond the rate.
    pub burst: f64,
}

/// The process on one host, which shares the allowance with those on the other hosts.
pub struct Node {
    /// The process's share of the allowance, and its loans. Lenders are identified by the index of
    /// their host.
    pub account: Account<usize>,
    pub seat_manager: SeatManager,
    pub holder: Holder,
    /// Detects pauses longer than [`PAUSE`].
    pub pause_detector: Stall,
    /// Whether the process is suspended, and so does nothing.
    pub frozen: bool,
    /// Whether it is stopping and gives up its seats.
    pub leaving: bool,
    allowance: Allowance,
    /// True time at the start of the process.
    started_ms: u64,
}

pub fn customer() -> Customer {
    Customer::new("kadriorg-crafts")
}

/// Duration for which inherited seats stay unused: until the tasks and loans of the process that
/// held them must have ended.
pub fn quiet_period() -> Duration {
    Duration::from_millis(MAX_DEADLINE_MS + 2 * LOAN_MARGIN_MS)
}

impl Node {
    pub fn new(allowance: Allowance, host: usize, incarnation: u64, now_ms: u64) -> Self {
        let holder =
            Holder { host: Host::new(format!("e{host}")), incarnation: Incarnation(incarnation) };
        Node {
            // Each process numbers its loans from another start, so that their keys are distinct.
            account: Account::new(incarnation << 32, Time::ZERO),
            seat_manager: SeatManager::new(holder.clone()),
            holder,
            pause_detector: Stall::new(PAUSE, Time::ZERO),
            frozen: false,
            leaving: false,
            allowance,
            started_ms: now_ms,
        }
    }

    /// Returns the time on this process's own clock at the true time `now_ms`.
    pub fn now(&self, now_ms: u64) -> Time {
        Time::from_millis(now_ms - self.started_ms)
    }

    /// Applies the table, as the daemon does after each read or write.
    pub fn apply_table(&mut self, table: &SeatTable, quiet_period: Duration, now_ms: u64) {
        let now = self.now(now_ms);
        self.seat_manager.confirm(table, quiet_period, now);
        self.pause_detector.clear(now);
        self.apply_share(now);
    }

    /// Sets the account's share to that of the usable seats.
    pub fn apply_share(&mut self, now: Time) {
        let seats = self.seat_manager.usable(now);
        let fraction = seats.len() as f64 / f64::from(SEATS);
        let Allowance { tasks, rate, burst } = self.allowance;
        let tasks = seats_share(tasks, &customer(), seats);
        self.account.set_share(tasks, rate * fraction, burst * fraction, now);
    }

    /// Returns whether the tasks in flight and the loans fit into the current share.
    pub fn fits(&mut self, now: Time) -> bool {
        self.account.expire_lent_loans(now);
        self.account.committed() <= self.account.share()
    }
}
