use super::{Offices, Origin, PartedOffice, Refused};
use crate::claim::{Age, Guard, Window};
use crate::clock::Time;
use crate::name::Customer;
use crate::record::{Cancelled, Digest, Entry, Key, Limits, Parted, Records};
use crate::run::Run;
use crate::ticket::{Home, Issuer, Ticket};
use std::time::Duration;

/// Both clocks of the process at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clocks {
    /// Monotonic time.
    pub now: Time,
    /// Wall time in Unix milliseconds.
    pub wall_ms: u64,
}

/// How far a desk is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It takes new work.
    Open,
    /// It takes no new work.
    Closed,
    /// Its records are with another process, or lost.
    Parted,
}

/// Takes submissions for one process. `H` is a handle to a running job, `A` a finished answer.
#[derive(Debug)]
pub struct Desk<H, A> {
    records: Records<H, A>,
    offices: Offices,
    window: Window,
    guard: Guard,
    stage: Stage,
}

impl<H: Clone, A: Clone> Desk<H, A> {
    /// An open desk without records.
    pub fn open(issuer: Issuer, window: Window, limits: Limits, clocks: Clocks) -> Self {
        Desk {
            records: Records::new(limits),
            offices: Offices::new(issuer),
            window,
            guard: Guard::new(window.skew, clocks.wall_ms, clocks.now),
            stage: Stage::Open,
        }
    }

    /// Issues a ticket, unless the desk is closed.
    pub fn issue(
        &mut self,
        customer: &Customer,
        now: Time,
        valid: Duration,
    ) -> Result<Ticket, Refused> {
        self.check_open()?;
        Ok(self.offices.issue(customer, now, valid))
    }

    /// Takes a submission: it begins under `handle`, or is found, or is refused.
    pub fn submit(
        &mut self,
        key: &Key,
        origin: &Origin,
        digest: Digest,
        clocks: Clocks,
        handle: H,
    ) -> Result<Entry<H, A>, Refused> {
        self.records.forget_refusal(key, clocks.now);
        if self.records.look(key).is_some() {
            // What is recorded is found whatever its age; it can't begin.
            return Ok(self.records.submit(key, digest, Time::ZERO, clocks.now, handle));
        }
        self.check_open()?;
        let until = self.accept_until(key, origin, clocks)?;
        match self.records.submit(key, digest, until, clocks.now, handle) {
            Entry::TooLate => Err(Refused::TooOld),
            Entry::Full => Err(Refused::Full),
            entry => Ok(entry),
        }
    }

    /// What is known of a submission.
    pub fn look(&self, key: &Key, origin: &Origin, clocks: Clocks) -> Result<Entry<H, A>, Refused> {
        if let Some(entry) = self.records.look(key) {
            return Ok(entry);
        }
        if self.stage == Stage::Parted {
            return Err(Refused::Parted);
        }
        let until = self.accept_until(key, origin, clocks)?;
        // While it would be accepted nothing of it is forgotten, so it never came.
        Err(if clocks.now <= until { Refused::NeverCame } else { Refused::TooOld })
    }

    /// Cancels a submission; one that has not come yet will not begin.
    pub fn cancel(
        &mut self,
        key: &Key,
        origin: &Origin,
        clocks: Clocks,
    ) -> Result<Cancelled<H, A>, Refused> {
        let until = match self.records.look(key) {
            Some(_) => Time::ZERO,
            None if self.stage == Stage::Parted => return Err(Refused::Parted),
            None => self.accept_until(key, origin, clocks)?,
        };
        match self.records.cancel(key, until, clocks.now) {
            Cancelled::TooLate => Err(Refused::TooOld),
            cancelled => Ok(cancelled),
        }
    }

    /// What may be said of a key of whatever customer.
    pub fn probe(&self, text: &str, origin: &Origin, clocks: Clocks) -> Run {
        if self.stage == Stage::Parted || self.records.knows_text(text) {
            return Run::MayHaveRun;
        }
        let acceptable = match origin {
            Origin::Ticket(ticket) => self.offices.end(ticket).is_some_and(|end| clocks.now <= end),
            Origin::Minted { ms } => self.judge(*ms, clocks).is_ok(),
        };
        if acceptable { Run::NotRun } else { Run::MayHaveRun }
    }

    /// Stores the answer of a running job of this many bytes.
    pub fn finish(&mut self, key: &Key, answer: A, bytes: usize) {
        self.records.finish(key, answer, bytes);
    }

    /// Ends a running job of which nothing was started; from `until` on it may be tried again.
    pub fn refuse(&mut self, key: &Key, answer: A, until: Time) {
        self.records.refuse(key, answer, until);
    }

    /// Judges the time in a minted key: how long it is acceptable.
    pub fn judge(&self, minted_ms: u64, clocks: Clocks) -> Result<Duration, Refused> {
        if !self.guard.trusts(clocks.wall_ms, clocks.now) {
            return Err(Refused::ClockStepped);
        }
        match self.window.judge(minted_ms, clocks.wall_ms) {
            Age::Fresh(left) => Ok(left),
            Age::TooOld => Err(Refused::TooOld),
            Age::Ahead => Err(Refused::Ahead),
        }
    }

    /// Takes no new work from now on.
    pub fn close(&mut self) {
        self.stage = self.stage.max(Stage::Closed);
    }

    /// Gives up everything that has ended; no submission is answered from here any more.
    pub fn part(&mut self, now: Time) -> (Vec<PartedOffice>, Vec<Parted<A>>) {
        self.stage = Stage::Parted;
        (self.offices.part(now), self.records.part())
    }

    /// Takes over a record of a process that stops; its end must be on this clock.
    pub fn adopt_record(&mut self, parted: Parted<A>, bytes: usize) {
        self.records.adopt(parted, bytes);
    }

    /// Takes over the tickets of a process that stops, all its records having come.
    pub fn adopt_office(&mut self, parted: PartedOffice, now: Time) {
        self.offices.adopt(parted, now);
    }

    /// Whether this process keeps the records of `home`.
    pub fn keeps(&self, home: &Home) -> bool {
        self.offices.keeps(home)
    }

    /// Whether a key is recorded.
    pub fn knows(&self, key: &Key) -> bool {
        self.records.look(key).is_some()
    }

    /// How far the desk is on its way to its end.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether the wall clock still agrees with the monotonic one.
    pub fn trusts(&self, clocks: Clocks) -> bool {
        self.guard.trusts(clocks.wall_ms, clocks.now)
    }

    /// Forgets what has ended and can no longer be accepted.
    pub fn expire(&mut self, now: Time) -> usize {
        self.records.expire(now)
    }

    /// The records.
    pub fn records(&self) -> &Records<H, A> {
        &self.records
    }

    fn check_open(&self) -> Result<(), Refused> {
        match self.stage {
            Stage::Open => Ok(()),
            Stage::Closed => Err(Refused::Closed),
            Stage::Parted => Err(Refused::Parted),
        }
    }

    /// Until when a new key is accepted, on this clock.
    fn accept_until(&self, key: &Key, origin: &Origin, clocks: Clocks) -> Result<Time, Refused> {
        match origin {
            Origin::Ticket(ticket) => {
                let end = self.offices.check(ticket, &key.customer);
                end.map_err(|_| Refused::Foreign)?.ok_or(Refused::TooOld)
            }
            // The record outlives what the clock of any process that takes it over accepts.
            Origin::Minted { ms } => {
                Ok(clocks.now + self.judge(*ms, clocks)? + self.window.margin())
            }
        }
    }
}
