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
    until: Time,
}

/// A lender waits this much longer than the borrower, per second of the loan, so that a slower
/// clock of the borrower does no harm.
const CLOCK_DRIFT_PER_SECOND: f64 = 0.001;

impl<L: Clone + PartialEq> Account<L> {
    /// An account without any part.
    pub fn new(now: Time) -> Self {
        Account {
            part: 0,
            out: 0,
            lent: BTreeMap::new(),
            borrowed: Vec::new(),
            starts: Bucket::new(now),
            next_loan: 0,
        }
    }

    /// Sets this host's own part: tasks at once, starts per second and burst.
    pub fn set_part(&mut self, tasks: u32, rate: f64, burst: f64, now: Time) {
        self.part = tasks;
        self.starts.set(rate, burst, now);
    }

    /// Drops all saved starts.
    pub fn empty(&mut self) {
        self.starts.empty();
    }

    /// Takes a permit for a task that ends by `end` at the latest, if there is one.
    pub fn take(&mut self, end: Time, now: Time) -> Option<Permit<L>> {
        self.collect(now);
        if self.starts.whole(now) == 0 {
            return None;
        }
        let permit = self.take_own().or_else(|| self.take_borrowed(end, now))?;
        let taken = self.starts.take(now);
        debug_assert!(taken, "a whole start was there");
        Some(permit)
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
        let starts = self.starts.give(starts, now);
        if tasks == 0 && starts == 0 {
            return None;
        }
        let key = LoanKey(self.next_loan);
        self.next_loan += 1;
        if tasks > 0 {
            let until = now + term.mul_f64(1.0 + CLOCK_DRIFT_PER_SECOND);
            self.lent.insert(key, Lent { tasks, until });
        }
        Some(Loan { key, tasks, starts })
    }

    /// Takes up a loan that was asked for at `asked`, on this clock.
    pub fn borrow(&mut self, lender: L, loan: Loan, term: Duration, asked: Time) {
        self.starts.receive(loan.starts);
        let Loan { key, tasks, .. } = loan;
        let known = self
            .borrowed
            .iter()
            .any(|b| b.lender == lender && b.key == key);
        if tasks == 0 || known {
            return;
        }
        let until = asked + term;
        self.borrowed.push(Borrowed {
            lender,
            key,
            tasks,
            used: 0,
            until,
            last_used: asked,
        });
    }

    /// Notes that the borrower is done with a loan.
    pub fn repaid(&mut self, key: LoanKey) {
        self.lent.remove(&key);
    }

    /// Takes out the loans that lay unused for `idle`, to be repaid, and those that have lapsed.
    pub fn repay(&mut self, idle: Duration, now: Time) -> Vec<(L, LoanKey)> {
        let spent = |loan: &Borrowed<L>| loan.used == 0 && now.since(loan.last_used) >= idle;
        let due = self.borrowed.iter().filter(|loan| spent(loan));
        let repaid = due.map(|loan| (loan.lender.clone(), loan.key)).collect();
        self.borrowed
            .retain(|loan| !spent(loan) && (loan.until > now || loan.used > 0));
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
        self.starts.whole(now)
    }

    /// Tasks at once that this host holds on loan.
    pub fn borrowed_tasks(&self) -> u32 {
        self.borrowed.iter().map(|loan| loan.tasks).sum()
    }

    /// Takes back loans whose end has come on this clock.
    pub fn collect(&mut self, now: Time) {
        self.lent.retain(|_, lent| lent.until > now);
    }

    fn lent_tasks(&self) -> u32 {
        self.lent.values().map(|lent| lent.tasks).sum()
    }
}
