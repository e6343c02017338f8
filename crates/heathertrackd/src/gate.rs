//! Holds each customer to its allowance: a task needs a permit before it is handed out.

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

/// A pause of the process longer than this puts its seats in doubt. It is far below the time for
/// which seats that were inherited lie unused.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// The allowances of all customers, as far as this host has them.
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

/// What a customer uses here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Use {
    /// Own part, in tasks at once.
    pub part: u32,
    /// Tasks out.
    pub out: u32,
    /// Tasks waiting for a permit.
    pub waiting: usize,
    /// Tasks at once held on loan.
    pub borrowed: u32,
}

impl Gate {
    /// A gate without any share.
    pub fn new(clock: Clock) -> Arc<Self> {
        let inner = Inner {
            counters: HashMap::new(),
            seats: Vec::new(),
            stall: Stall::new(LONGEST_PAUSE, clock.now()),
            sequence: 0,
        };
        Arc::new(Gate { clock, inner: Mutex::new(inner) })
    }

    /// Waits for a permit for a task that ends by `end`. The smallest `due` goes first.
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
            // The gate never drops a waiter; should it, the task must wait for its deadline.
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

    /// Splits the allowances anew, after the lists or the seats have changed.
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

    /// Sets the seats that may be used, and takes away what was in doubt after a pause.
    pub fn set_seats(&self, seats: Vec<Seat>) {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        inner.seats = seats;
        inner.stall.clear(now);
    }

    /// The seats in use.
    pub fn seats(&self) -> Vec<Seat> {
        lock(&self.inner).seats.clone()
    }

    /// Whether all that is out or lent would fit into the present part.
    pub fn fits(&self) -> bool {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        inner.counters.values_mut().all(|counter| {
            counter.account.collect(now);
            counter.account.committed() <= counter.account.part()
        })
    }

    /// Whether nothing is out or lent.
    pub fn is_clear(&self) -> bool {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        inner.counters.values_mut().all(|counter| {
            counter.account.collect(now);
            counter.account.committed() == 0
        })
    }

    /// Serves waiting tasks whose starts have been saved up. Returns whether a pause was found.
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

    /// Customers whose tasks wait, with how many, and by when the last of them ends.
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

    /// Takes a loan back.
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

    /// Tasks of a customer that wait for a permit here.
    pub fn waiting(&self, customer: &Customer) -> usize {
        lock(&self.inner).counters.get(customer).map_or(0, Counter::waiting)
    }

    /// What each customer uses here.
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
