//! Enforces the customers' allowances: a task needs a permit before it is placed.

mod lending;
mod permit;
mod permit_queue;

pub use lending::{handle_loan_request, longest_term, spawn as spawn_lending};
pub use permit::Permit;

use crate::clock::Clock;
use crate::state::lock;
use heathertrack::clock::{Stall, Time};
use heathertrack::lists::{Allowances, Plans};
use heathertrack::name::{Customer, Host};
use heathertrack::share::{Loan, LoanKey, SEATS, Seat, seats_share};
use permit_queue::PermitQueue;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest pause of the process after which its seats still count as confirmed. After a longer one,
/// no permits are granted until the seats are confirmed again, as another host may have inherited
/// them. It is far below the time for which inherited seats stay unused.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// This host's share of the allowances of all customers.
#[derive(Debug)]
pub struct Gate {
    clock: Clock,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    queues: HashMap<Customer, PermitQueue>,
    /// Seats that this host may use now; they determine its shares.
    seats: Vec<Seat>,
    /// Detects pauses of the process.
    stall: Stall,
    /// Number of permits requested so far; orders queued tasks with equal due times.
    sequence: u64,
}

/// A customer's use of its allowance on this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllowanceUse {
    /// This host's own share, in concurrent tasks.
    pub share: u32,
    /// Tasks in flight.
    pub in_flight: u32,
    /// Tasks queued for a permit.
    pub waiting: usize,
    /// Concurrent tasks borrowed from peers.
    pub borrowed: u32,
}

impl Gate {
    /// Creates a gate without any share.
    pub fn new(clock: Clock) -> Arc<Self> {
        let inner = Inner {
            queues: HashMap::new(),
            seats: Vec::new(),
            stall: Stall::new(MAX_PAUSE, clock.now()),
            sequence: 0,
        };
        Arc::new(Gate { clock, inner: Mutex::new(inner) })
    }

    /// Waits for a permit for a task that ends by `end`. Queued tasks are served in order of `due`.
    pub async fn acquire(self: &Arc<Self>, customer: &Customer, due: Time, end: Time) -> Permit {
        let waiter = {
            let mut inner = lock(&self.inner);
            let now = self.clock.now();
            let may_grant = !inner.stall.paused(now);
            inner.sequence += 1;
            let sequence = inner.sequence;
            let queue = inner.queue(customer, now);
            if may_grant && let Some(account_permit) = queue.try_take(end, now) {
                return Permit::new(self.clone(), customer.clone(), account_permit);
            }
            let (sender, receiver) = oneshot::channel();
            queue.enqueue(due, sequence, end, sender);
            receiver
        };
        match waiter.await {
            Ok(account_permit) => Permit::new(self.clone(), customer.clone(), account_permit),
            // The gate never drops the sender of a queued task. If it did, the task would wait here
            // until its job's deadline.
            Err(_) => std::future::pending().await,
        }
    }

    /// Returns the permit of a task that has ended, and grants permits to queued tasks.
    fn release(&self, customer: &Customer, account_permit: &heathertrack::share::Permit<Host>) {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        let may_grant = !inner.stall.paused(now);
        if let Some(queue) = inner.queues.get_mut(customer) {
            queue.account.release(account_permit, now);
            if may_grant {
                queue.serve(now);
            }
        }
    }

    /// Recomputes this host's share of each allowance after the lists or the seats have changed.
    pub fn recompute_shares(&self, plans: &Plans, allowances: &Allowances) {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        let seats = inner.seats.clone();
        let fraction = seats.len() as f64 / f64::from(SEATS);
        for name in plans.customers.keys() {
            inner.queue(name, now);
        }
        for (name, queue) in &mut inner.queues {
            let customer = plans.customers.get(name);
            let allowance = customer.and_then(|customer| allowances.plans.get(&customer.plan));
            let Some(allowance) = allowance else {
                queue.account.set_share(0, 0.0, 0.0, now);
                continue;
            };
            let tasks = seats_share(allowance.tasks_at_once, name, seats.iter().copied());
            let rate = allowance.starts_per_second * fraction;
            let burst = allowance.burst * fraction;
            queue.account.set_share(tasks, rate, burst, now);
        }
        let listed = |name: &Customer| plans.customers.contains_key(name);
        inner.queues.retain(|name, queue| listed(name) || !queue.is_idle());
    }

    /// Sets the seats that may be used. They count as confirmed, so permits are granted again after
    /// a pause of the process.
    pub fn set_seats(&self, seats: Vec<Seat>) {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        inner.seats = seats;
        inner.stall.clear(now);
    }

    /// Returns the seats that may be used.
    pub fn seats(&self) -> Vec<Seat> {
        lock(&self.inner).seats.clone()
    }

    /// Returns whether the tasks in flight and the loans to peers fit into the current shares.
    pub fn fits_shares(&self) -> bool {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        inner.queues.values_mut().all(|queue| {
            queue.account.expire_lent_loans(now);
            queue.account.committed() <= queue.account.share()
        })
    }

    /// Returns whether nothing of this host's own shares is used by a task in flight or lent.
    pub fn is_unused(&self) -> bool {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        inner.queues.values_mut().all(|queue| {
            queue.account.expire_lent_loans(now);
            queue.account.committed() == 0
        })
    }

    /// Grants permits to queued tasks as starts accrue. Returns true once per pause of the process,
    /// when it is detected.
    pub fn tick(&self) -> bool {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        let already_detected = inner.stall.paused(now);
        inner.stall.tick(now);
        if inner.stall.paused(now) {
            return !already_detected;
        }
        for queue in inner.queues.values_mut() {
            queue.serve(now);
        }
        false
    }

    /// Returns the customers for which a peer should be asked for a loan, each with the number of
    /// its queued tasks and the time by which the last of them ends.
    fn loan_requests(&self, min_interval: Duration) -> Vec<(Customer, u32, Time)> {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        let mut requests = Vec::new();
        for (name, queue) in &mut inner.queues {
            if let Some((count, end)) = queue.loan_request(min_interval, now) {
                requests.push((name.clone(), count, end));
            }
        }
        requests
    }

    /// Lends up to `tasks` and `starts` of a customer's share, unless tasks are queued here.
    fn lend(&self, customer: &Customer, tasks: u32, starts: u32, term: Duration) -> Option<Loan> {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        if inner.stall.paused(now) {
            return None;
        }
        let queue = inner.queues.get_mut(customer)?;
        if queue.has_waiters() {
            return None;
        }
        queue.account.lend(tasks, starts, term, now)
    }

    /// Adds a loan from a peer, whose term counts from `requested_at`.
    fn borrow(
        &self,
        customer: &Customer,
        lender: Host,
        loan: Loan,
        term: Duration,
        requested_at: Time,
    ) {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        let queue = inner.queue(customer, now);
        queue.account.add_loan(lender, loan, term, requested_at);
        queue.serve(now);
    }

    /// Ends a loan that the borrower has repaid.
    pub fn end_loan(&self, customer: &Customer, key: LoanKey) {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        if let Some(queue) = inner.queues.get_mut(customer) {
            queue.account.end_lent_loan(key, now);
            queue.serve(now);
        }
    }

    /// Removes the borrowed loans that were unused for `idle` and returns them for repayment.
    fn take_idle_loans(&self, idle: Duration) -> Vec<(Customer, Host, LoanKey)> {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        let mut repayments = Vec::new();
        for (name, queue) in &mut inner.queues {
            let due = queue.account.take_repayable(idle, now);
            repayments.extend(due.into_iter().map(|(host, key)| (name.clone(), host, key)));
        }
        repayments
    }

    /// Returns the number of a customer's tasks queued for a permit on this host.
    pub fn queued(&self, customer: &Customer) -> usize {
        lock(&self.inner).queues.get(customer).map_or(0, PermitQueue::queued)
    }

    /// Returns each customer's use of its allowance, sorted by name.
    pub fn uses(&self) -> Vec<(Customer, AllowanceUse)> {
        let inner = lock(&self.inner);
        let mut uses: Vec<(Customer, AllowanceUse)> =
            inner.queues.iter().map(|(name, queue)| (name.clone(), queue.usage())).collect();
        uses.sort_by(|a, b| a.0.cmp(&b.0));
        uses
    }
}

impl Inner {
    fn queue(&mut self, customer: &Customer, now: Time) -> &mut PermitQueue {
        self.queues.entry(customer.clone()).or_insert_with(|| PermitQueue::new(now))
    }
}
