use super::loan::Borrowed;
use super::{Loan, LoanKey, TokenBucket};
use crate::clock::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Permission to have one task in flight; it is released when the task has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit<L> {
    /// Taken from this host's own share.
    Own,
    /// Taken from the loan with this key from this lender.
    Loan(L, LoanKey),
}

/// One host's share of one customer's allowance. `L` identifies lenders.
///
/// Invariants:
/// - tasks in flight on the own share + tasks lent <= own share, unless the share was just reduced;
/// - tasks in flight on a loan <= tasks of the loan, and none of them ends after the loan.
#[derive(Debug)]
pub struct Account<L> {
    /// Own share, in concurrent tasks.
    share: u32,
    /// Tasks in flight on the own share.
    in_flight: u32,
    lent: BTreeMap<LoanKey, LentLoan>,
    borrowed: Vec<Borrowed<L>>,
    /// Starts of the own share.
    starts: TokenBucket,
    /// Number of the next loan that this host lends.
    next_loan: u64,
}

#[derive(Clone, Copy, Debug)]
struct LentLoan {
    tasks: u32,
    starts: u32,
    /// Expiry on the lender's clock.
    until: Time,
}

/// Part of a loan's term by which the lender extends it. A borrower whose clock runs slower by up
/// to this ratio still stops using the loan before the lender takes it back.
const MAX_CLOCK_DRIFT: f64 = 0.001;

impl<L: Clone + PartialEq> Account<L> {
    /// Creates an account without a share. Lent loans are numbered from `first_loan`, which must
    /// differ between processes, so that a late repayment meant for an earlier process matches no
    /// loan of this one.
    pub fn new(first_loan: u64, now: Time) -> Self {
        Account {
            share: 0,
            in_flight: 0,
            lent: BTreeMap::new(),
            borrowed: Vec::new(),
            starts: TokenBucket::new(now),
            next_loan: first_loan,
        }
    }

    /// Sets this host's own share: concurrent tasks, starts per second, and the burst, in starts.
    pub fn set_share(&mut self, tasks: u32, rate: f64, burst: f64, now: Time) {
        self.share = tasks;
        self.starts.configure(rate, burst, now);
    }

    /// Takes a permit and a start for a task that ends by `end`, if both are available.
    pub fn acquire(&mut self, end: Time, now: Time) -> Option<Permit<L>> {
        self.expire_lent_loans(now);
        if self.available_starts(now) == 0 {
            return None;
        }
        let permit = self.take_own().or_else(|| self.take_borrowed(end, now))?;
        self.take_start(now);
        Some(permit)
    }

    /// Consumes a start. Those of loans go first, as they are lost when the loan ends.
    fn take_start(&mut self, now: Time) {
        let mut loans = self.borrowed.iter_mut();
        match loans.find(|loan| loan.starts > 0 && now < loan.until) {
            Some(loan) => loan.starts -= 1,
            None => {
                let taken = self.starts.take(now);
                debug_assert!(taken, "the caller checked that a start is available");
            }
        }
    }

    fn take_own(&mut self) -> Option<Permit<L>> {
        if self.free_share() == 0 {
            return None;
        }
        self.in_flight += 1;
        Some(Permit::Own)
    }

    fn take_borrowed(&mut self, end: Time, now: Time) -> Option<Permit<L>> {
        let usable = |loan: &&mut Borrowed<L>| loan.in_flight < loan.tasks && end <= loan.until;
        let loan = self.borrowed.iter_mut().find(usable)?;
        loan.in_flight += 1;
        loan.last_used = now;
        Some(Permit::Loan(loan.lender.clone(), loan.key))
    }

    /// Releases a permit whose task has ended.
    pub fn release(&mut self, permit: &Permit<L>, now: Time) {
        match permit {
            Permit::Own => self.in_flight = self.in_flight.saturating_sub(1),
            Permit::Loan(lender, key) => {
                let same = |loan: &&mut Borrowed<L>| loan.lender == *lender && loan.key == *key;
                if let Some(loan) = self.borrowed.iter_mut().find(same) {
                    loan.in_flight = loan.in_flight.saturating_sub(1);
                    loan.last_used = now;
                }
            }
        }
    }

    /// Lends up to `tasks` free concurrent tasks and up to `starts` available starts, for `term`
    /// from `now`. Returns `None` if there is neither.
    pub fn lend(&mut self, tasks: u32, starts: u32, term: Duration, now: Time) -> Option<Loan> {
        self.expire_lent_loans(now);
        let tasks = self.free_share().min(tasks);
        let starts = self.starts.lend(starts, now);
        if tasks == 0 && starts == 0 {
            return None;
        }
        let key = LoanKey(self.next_loan);
        self.next_loan = self.next_loan.wrapping_add(1);
        let until = now + term.mul_f64(1.0 + MAX_CLOCK_DRIFT);
        self.lent.insert(key, LentLoan { tasks, starts, until });
        Some(Loan { key, tasks, starts })
    }

    /// Adds a borrowed loan, unless it was added before. Its term counts from `requested_at`, the
    /// time on this process's clock at which the request for it was sent.
    pub fn add_loan(&mut self, lender: L, loan: Loan, term: Duration, requested_at: Time) {
        let Loan { key, tasks, starts } = loan;
        if self.borrowed.iter().any(|known| known.lender == lender && known.key == key) {
            return;
        }
        let (in_flight, until, last_used) = (0, requested_at + term, requested_at);
        self.borrowed.push(Borrowed { lender, key, tasks, in_flight, starts, until, last_used });
    }

    /// Ends a loan that the borrower has repaid.
    pub fn end_lent_loan(&mut self, key: LoanKey, now: Time) {
        if let Some(lent) = self.lent.remove(&key) {
            self.starts.end_loan(lent.starts, now);
        }
    }

    /// Removes the borrowed loans on which no task was in flight for `idle`, and returns them for
    /// repayment. Also drops, without returning them, expired loans that have no task in flight.
    pub fn take_repayable(&mut self, idle: Duration, now: Time) -> Vec<(L, LoanKey)> {
        let idle_too_long =
            |loan: &Borrowed<L>| loan.in_flight == 0 && now.since(loan.last_used) >= idle;
        let due = self.borrowed.iter().filter(|loan| idle_too_long(loan));
        let repaid = due.map(|loan| (loan.lender.clone(), loan.key)).collect();
        self.borrowed
            .retain(|loan| !idle_too_long(loan) && (loan.until > now || loan.in_flight > 0));
        repaid
    }

    /// Returns the tasks of this host's own share that are neither in flight nor lent.
    pub fn free_share(&self) -> u32 {
        self.share.saturating_sub(self.in_flight + self.lent_tasks())
    }

    /// Returns the tasks in flight, on the own share and on loans.
    pub fn in_flight(&self) -> u32 {
        self.in_flight + self.borrowed.iter().map(|loan| loan.in_flight).sum::<u32>()
    }

    /// Returns the tasks of the own share that are in flight or lent.
    pub fn committed(&self) -> u32 {
        self.in_flight + self.lent_tasks()
    }

    /// Returns this host's own share, in concurrent tasks.
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Returns the number of task starts available now, of the own share and of loans.
    pub fn available_starts(&mut self, now: Time) -> u32 {
        let valid = self.borrowed.iter().filter(|loan| now < loan.until);
        let borrowed: u32 = valid.map(|loan| loan.starts).sum();
        self.starts.available(now) + borrowed
    }

    /// Returns how many concurrent tasks this host has borrowed.
    pub fn borrowed_tasks(&self) -> u32 {
        self.borrowed.iter().map(|loan| loan.tasks).sum()
    }

    /// Takes back the lent loans that have expired on this process's clock.
    pub fn expire_lent_loans(&mut self, now: Time) {
        let expired = |lent: &LentLoan| lent.until <= now;
        let expired_starts: u32 =
            self.lent.values().filter(|lent| expired(lent)).map(|lent| lent.starts).sum();
        self.starts.end_loan(expired_starts, now);
        self.lent.retain(|_, lent| !expired(lent));
    }

    fn lent_tasks(&self) -> u32 {
        self.lent.values().map(|lent| lent.tasks).sum()
    }
}
