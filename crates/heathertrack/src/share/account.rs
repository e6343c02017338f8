use super::loan::Borrowed;
use super::{Bucket, Loan, LoanKey};
use crate::clock::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// A right to have one task out, to be given back when the task has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit<L> {
    /// From this host's own part.
    Own,
    /// From a loan.
    Loan(L, LoanKey),
}

/// One host's part of one customer's allowance. `L` names lenders.
///
/// At every instant: tasks out on the own part + tasks lent <= own part, unless the part was just
/// cut by an edit; and tasks out on a loan <= the loan, none of them after its end.
#[derive(Debug)]
pub struct Account<L> {
    part: u32,
    out: u32,
    lent: BTreeMap<LoanKey, Lent>,
    borrowed: Vec<Borrowed<L>>,
    starts: Bucket,
    next_loan: u64,
}

#[derive(Clone, Copy, Debug)]
struct Lent {
    tasks: u32,
    starts: u32,
    until: Time,
}

/// A lender waits this much longer than the borrower, per second of the loan, so that a slower
/// clock of the borrower does no harm.
const CLOCK_DRIFT_PER_SECOND: f64 = 0.001;

impl<L: Clone + PartialEq> Account<L> {
    /// An account without any part. Loans are named from `first_loan` on; it must differ from
    /// process to process, so that a late repayment to an earlier one pays back nothing here.
    pub fn new(first_loan: u64, now: Time) -> Self {
        Account {
            part: 0,
            out: 0,
            lent: BTreeMap::new(),
            borrowed: Vec::new(),
            starts: Bucket::new(now),
            next_loan: first_loan,
        }
    }

    /// Sets this host's own part: tasks at once, starts per second and burst.
    pub fn set_part(&mut self, tasks: u32, rate: f64, burst: f64, now: Time) {
        self.part = tasks;
        self.starts.set(rate, burst, now);
    }

    /// Takes a permit for a task that ends by `end` at the latest, if there is one.
    pub fn take(&mut self, end: Time, now: Time) -> Option<Permit<L>> {
        self.collect(now);
        if self.starts(now) == 0 {
            return None;
        }
        let permit = self.take_own().or_else(|| self.take_borrowed(end, now))?;
        self.take_start(now);
        Some(permit)
    }

    /// Takes a start, of a loan first: what is left of it when it ends is lost.
    fn take_start(&mut self, now: Time) {
        let mut loans = self.borrowed.iter_mut();
        match loans.find(|loan| loan.starts > 0 && now < loan.until) {
            Some(loan) => loan.starts -= 1,
            None => {
                let taken = self.starts.take(now);
                debug_assert!(taken, "a whole start was there");
            }
        }
    }

    fn take_own(&mut self) -> Option<Permit<L>> {
        if self.free_part() == 0 {
            return None;
        }
        self.out += 1;
        Some(Permit::Own)
    }

    fn take_borrowed(&mut self, end: Time, now: Time) -> Option<Permit<L>> {
        let usable = |loan: &&mut Borrowed<L>| loan.used < loan.tasks && end <= loan.until;
        let loan = self.borrowed.iter_mut().find(usable)?;
        loan.used += 1;
        loan.last_used = now;
        Some(Permit::Loan(loan.lender.clone(), loan.key))
    }

    /// Gives a permit back, its task having ended.
    pub fn give_back(&mut self, permit: &Permit<L>, now: Time) {
        match permit {
            Permit::Own => self.out = self.out.saturating_sub(1),
            Permit::Loan(lender, key) => {
                let same = |loan: &&mut Borrowed<L>| loan.lender == *lender && loan.key == *key;
                if let Some(loan) = self.borrowed.iter_mut().find(same) {
                    loan.used = loan.used.saturating_sub(1);
                    loan.last_used = now;
                }
            }
        }
    }

    /// Lends what is free, at most `tasks` and `starts`, for `term` from now. Nothing free: `None`.
    pub fn lend(&mut self, tasks: u32, starts: u32, term: Duration, now: Time) -> Option<Loan> {
        self.collect(now);
        let tasks = self.free_part().min(tasks);
        let starts = self.starts.lend(starts, now);
        if tasks == 0 && starts == 0 {
            return None;
        }
        let key = LoanKey(self.next_loan);
        self.next_loan = self.next_loan.wrapping_add(1);
        let until = now + term.mul_f64(1.0 + CLOCK_DRIFT_PER_SECOND);
        self.lent.insert(key, Lent { tasks, starts, until });
        Some(Loan { key, tasks, starts })
    }

    /// Takes up a loan that was asked for at `asked`, on this clock.
    pub fn borrow(&mut self, lender: L, loan: Loan, term: Duration, asked: Time) {
        let Loan { key, tasks, starts } = loan;
        if self.borrowed.iter().any(|b| b.lender == lender && b.key == key) {
            return;
        }
        let (used, until, last_used) = (0, asked + term, asked);
        self.borrowed.push(Borrowed { lender, key, tasks, used, starts, until, last_used });
    }

    /// Notes that the borrower is done with a loan.
    pub fn repaid(&mut self, key: LoanKey, now: Time) {
        if let Some(lent) = self.lent.remove(&key) {
            self.starts.end_loan(lent.starts, now);
        }
    }

    /// Takes out the loans that lay unused for `idle`, to be repaid, and those that have lapsed.
    pub fn repay(&mut self, idle: Duration, now: Time) -> Vec<(L, LoanKey)> {
        let spent = |loan: &Borrowed<L>| loan.used == 0 && now.since(loan.last_used) >= idle;
        let due = self.borrowed.iter().filter(|loan| spent(loan));
        let repaid = due.map(|loan| (loan.lender.clone(), loan.key)).collect();
        self.borrowed.retain(|loan| !spent(loan) && (loan.until > now || loan.used > 0));
        repaid
    }

    /// Tasks of this host's own part that are neither out nor lent.
    pub fn free_part(&self) -> u32 {
        self.part.saturating_sub(self.out + self.lent_tasks())
    }

    /// Tasks out now, on the own part and on loans.
    pub fn out(&self) -> u32 {
        self.out + self.borrowed.iter().map(|loan| loan.used).sum::<u32>()
    }

    /// Tasks of the own part that are out or lent.
    pub fn committed(&self) -> u32 {
        self.out + self.lent_tasks()
    }

    /// This host's own part, in tasks at once.
    pub fn part(&self) -> u32 {
        self.part
    }

    /// Whole starts that could be taken now.
    pub fn starts(&mut self, now: Time) -> u32 {
        let valid = self.borrowed.iter().filter(|loan| now < loan.until);
        let borrowed: u32 = valid.map(|loan| loan.starts).sum();
        self.starts.whole(now) + borrowed
    }

    /// Tasks at once that this host holds on loan.
    pub fn borrowed_tasks(&self) -> u32 {
        self.borrowed.iter().map(|loan| loan.tasks).sum()
    }

    /// Takes back loans whose end has come on this clock.
    pub fn collect(&mut self, now: Time) {
        let over = |lent: &Lent| lent.until <= now;
        let ended: u32 = self.lent.values().filter(|lent| over(lent)).map(|lent| lent.starts).sum();
        self.starts.end_loan(ended, now);
        self.lent.retain(|_, lent| !over(lent));
    }

    fn lent_tasks(&self) -> u32 {
        self.lent.values().map(|lent| lent.tasks).sum()
    }
}
