//! Enforces the customers' allowances: a task needs a permit before it is placed.

mod counter;
mod lending;
mod permit;

pub use lending::{answer_loan, longest_term, spawn as spawn_lending};
pub use permit::Permit;

use crate::clock::Clock;
use crate::state::lock;
use counter::Counter;
use heathertrack::clock::{Stall, Time};
use heathertrack::lists::{Allowances, Plans};
use heathertrack::name::{Customer, Host};
use heathertrack::share::{Loan, LoanKey, SEATS, Seat, portion};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;

/// After the process was paused for longer than this, it may have lost its seats and must confirm
/// them. Far below the time for which a process that inherits seats leaves them unused.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// This host's share of the allowances of all customers.
#[derive(Debug)]
pub struct Gate {
    clock: Clock,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    counters: HashMap<Customer, Counter>,
    seats: Vec<Seat>,
    stall: Stall,
    sequence: u64,
}

/// A customer's use of its allowance on this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Use {
    /// This host's own share, in tasks at once.
    pub part: u32,
    /// Tasks in flight.
    pub out: u32,
    /// Tasks queued for a permit.
    pub waiting: usize,
    /// Tasks at once borrowed from peers.
    pub borrowed: u32,
}

impl Gate {
    /// Creates a gate without any share.
    pub fn new(clock: Clock) -> Arc<Self> {
        let inner = Inner {
            counters: HashMap::new(),
            seats: Vec::new(),
            stall: Stall::new(LONGEST_PAUSE, clock.now()),
            sequence: 0,
        };
        Arc::new(Gate { clock, inner: Mutex::new(inner) })
    }

    /// Waits for a permit for a task that ends by `end`. Queued tasks are served in order of `due`.
    pub async fn acquire(self: &Arc<Self>, customer: &Customer, due: Time, end: Time) -> Permit {
        let waiter = {
            let mut inner = lock(&self.inner);
            let now = self.clock.now();
            let usable = !inner.stall.paused(now);
            inner.sequence += 1;
            let sequence = inner.sequence;
            let counter = inner.counter(customer, now);
            if usable && let Some(taken) = counter.take_at_once(end, now) {
                return Permit::new(self.clone(), customer.clone(), taken);
            }
            let (sender, receiver) = oneshot::channel();
            counter.wait(due, sequence, end, sender);
            receiver
        };
        match waiter.await {
            Ok(taken) => Permit::new(self.clone(), customer.clone(), taken),
            // The gate never drops the sender of a queued task. If it did, the task would wait here
            // until its job's deadline.
            Err(_) => std::future::pending().await,
        }
    }

    fn give_back(&self, customer: &Customer, taken: &heathertrack::share::Permit<Host>) {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        let usable = !inner.stall.paused(now);
        if let Some(counter) = inner.counters.get_mut(customer) {
            counter.account.give_back(taken, now);
            if usable {
                counter.serve(now);
            }
        }
    }

    /// Recomputes this host's share of each allowance after the lists or the seats have changed.
    pub fn split(&self, plans: &Plans, allowances: &Allowances) {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        let seats = inner.seats.clone();
        let fraction = seats.len() as f64 / f64::from(SEATS);
        for name in plans.customers.keys() {
            inner.counter(name, now);
        }
        for (name, counter) in &mut inner.counters {
            let customer = plans.customers.get(name);
            let allowance = customer.and_then(|customer| allowances.plans.get(&customer.plan));
            let Some(allowance) = allowance else {
                counter.account.set_part(0, 0.0, 0.0, now);
                continue;
            };
            let tasks = portion(allowance.tasks_at_once, name, seats.iter().copied());
            let rate = allowance.starts_per_second * fraction;
            let burst = allowance.burst * fraction;
            counter.account.set_part(tasks, rate, burst, now);
        }
        let listed = |name: &Customer| plans.customers.contains_key(name);
        inner.counters.retain(|name, counter| listed(name) || !counter.is_idle());
    }

    /// Sets the usable seats. They are confirmed by this, so permits are granted again after a
    /// pause of the process.
    pub fn set_seats(&self, seats: Vec<Seat>) {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        inner.seats = seats;
        inner.stall.clear(now);
    }

    /// Returns the seats in use.
    pub fn seats(&self) -> Vec<Seat> {
        lock(&self.inner).seats.clone()
    }

    /// Returns whether the tasks in flight and the loans to peers fit into the present shares.
    pub fn fits(&self) -> bool {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        inner.counters.values_mut().all(|counter| {
            counter.account.collect(now);
            counter.account.committed() <= counter.account.part()
        })
    }

    /// Returns whether no share has tasks in flight or is lent.
    pub fn is_clear(&self) -> bool {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        inner.counters.values_mut().all(|counter| {
            counter.account.collect(now);
            counter.account.committed() == 0
        })
    }

    /// Grants permits to queued tasks as starts accrue. Returns whether a pause of the process was
    /// detected.
    pub fn tick(&self) -> bool {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        let known = inner.stall.paused(now);
        inner.stall.tick(now);
        if inner.stall.paused(now) {
            return !known;
        }
        for counter in inner.counters.values_mut() {
            counter.serve(now);
        }
        false
    }

    /// Returns the customers for which a peer should be asked for a loan, each with the number of
    /// its queued tasks and the time by which the last of them ends.
    fn starving(&self, since: Duration) -> Vec<(Customer, u32, Time)> {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        let mut starving = Vec::new();
        for (name, counter) in &mut inner.counters {
            if let Some((count, end)) = counter.ask(since, now) {
                starving.push((name.clone(), count, end));
            }
        }
        starving
    }

    fn lend(&self, customer: &Customer, tasks: u32, starts: u32, term: Duration) -> Option<Loan> {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        if inner.stall.paused(now) {
            return None;
        }
        let counter = inner.counters.get_mut(customer)?;
        if counter.has_waiters() {
            return None;
        }
        counter.account.lend(tasks, starts, term, now)
    }

    fn borrow(&self, customer: &Customer, lender: Host, loan: Loan, term: Duration, asked: Time) {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        let counter = inner.counter(customer, now);
        counter.account.borrow(lender, loan, term, asked);
        counter.serve(now);
    }

    /// Takes back a loan that a peer has repaid.
    pub fn repaid(&self, customer: &Customer, key: LoanKey) {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        if let Some(counter) = inner.counters.get_mut(customer) {
            counter.account.repaid(key, now);
            counter.serve(now);
        }
    }

    fn repayable(&self, idle: Duration) -> Vec<(Customer, Host, LoanKey)> {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        let mut repayable = Vec::new();
        for (name, counter) in &mut inner.counters {
            let due = counter.account.repay(idle, now);
            repayable.extend(due.into_iter().map(|(host, key)| (name.clone(), host, key)));
        }
        repayable
    }

    /// Returns the number of a customer's tasks queued for a permit on this host.
    pub fn waiting(&self, customer: &Customer) -> usize {
        lock(&self.inner).counters.get(customer).map_or(0, Counter::waiting)
    }

    /// Returns the use of each customer, sorted by name.
    pub fn uses(&self) -> Vec<(Customer, Use)> {
        let inner = lock(&self.inner);
        let mut uses: Vec<(Customer, Use)> =
            inner.counters.iter().map(|(name, counter)| (name.clone(), counter.usage())).collect();
        uses.sort_by(|a, b| a.0.cmp(&b.0));
        uses
    }
}

impl Inner {
    fn counter(&mut self, customer: &Customer, now: Time) -> &mut Counter {
        self.counters.entry(customer.clone()).or_insert_with(|| Counter::new(now))
    }
}
