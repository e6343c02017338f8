use super::{Origin, PartedOffice, Refused, TicketAuthority};
use crate::claim::{ClockStepDetector, KeyAge, Window};
use crate::clock::Time;
use crate::name::Customer;
use crate::record::{Cancelled, Digest, Entry, Key, Limits, Parted, Records};
use crate::run::Run;
use crate::ticket::{Home, Issuer, Ticket};
use std::time::Duration;

/// Readings of both clocks of the process, taken together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clocks {
    /// Monotonic time.
    pub now: Time,
    /// Wall time in Unix milliseconds.
    pub wall_ms: u64,
}

/// Lifecycle stage of a [`Desk`]; it only moves forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Accepts new submissions.
    Open,
    /// Accepts no new submissions, but still answers for recorded ones.
    Closed,
    /// The records were handed over to another process, or are lost.
    HandedOver,
}

/// Accepts, deduplicates and answers the submissions of one process.
///
/// `H` is a handle to a running job, `A` the answer of a finished one.
#[derive(Debug)]
pub struct Desk<H, A> {
    records: Records<H, A>,
    tickets: TicketAuthority,
    window: Window,
    clock_steps: ClockStepDetector,
    stage: Stage,
}

impl<H: Clone, A: Clone> Desk<H, A> {
    /// Creates an open desk without records.
    pub fn open(issuer: Issuer, window: Window, limits: Limits, clocks: Clocks) -> Self {
        Desk {
            records: Records::new(limits),
            tickets: TicketAuthority::new(issuer),
            window,
            clock_steps: ClockStepDetector::new(window.skew, clocks.wall_ms, clocks.now),
            stage: Stage::Open,
        }
    }

    /// Issues a ticket. Fails unless the desk is open.
    pub fn issue(
        &mut self,
        customer: &Customer,
        now: Time,
        valid: Duration,
    ) -> Result<Ticket, Refused> {
        self.check_open()?;
        Ok(self.tickets.issue(customer, now, valid))
    }

    /// Submits a job: starts it under `handle`, returns its existing record, or refuses it.
    pub fn submit(
        &mut self,
        key: &Key,
        origin: &Origin,
        digest: Digest,
        clocks: Clocks,
        handle: H,
    ) -> Result<Entry<H, A>, Refused> {
        self.records.remove_expired_refusal(key, clocks.now);
        if self.records.get(key).is_some() {
            // A recorded key is found whatever its age. `Time::ZERO` as the limit keeps this call
            // from starting it.
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

    /// Returns the record of a submission.
    pub fn look(&self, key: &Key, origin: &Origin, clocks: Clocks) -> Result<Entry<H, A>, Refused> {
        if let Some(entry) = self.records.get(key) {
            return Ok(entry);
        }
        if self.stage == Stage::HandedOver {
            return Err(Refused::Parted);
        }
        let until = self.accept_until(key, origin, clocks)?;
        // Records are kept for as long as their keys are accepted, so a key that is still accepted
        // and has no record was never submitted.
        Err(if clocks.now <= until { Refused::NeverCame } else { Refused::TooOld })
    }

    /// Cancels a submission. If it has not arrived yet, it will not start when it does.
    pub fn cancel(
        &mut self,
        key: &Key,
        origin: &Origin,
        clocks: Clocks,
    ) -> Result<Cancelled<H, A>, Refused> {
        let until = match self.records.get(key) {
            Some(_) => Time::ZERO,
            None if self.stage == Stage::HandedOver => return Err(Refused::Parted),
            None => self.accept_until(key, origin, clocks)?,
        };
        match self.records.cancel(key, until, clocks.now) {
            Cancelled::TooLate => Err(Refused::TooOld),
            cancelled => Ok(cancelled),
        }
    }

    /// Returns whether a job under this key may have run, whichever customer submitted it.
    pub fn probe(&self, text: &str, origin: &Origin, clocks: Clocks) -> Run {
        if self.stage == Stage::HandedOver || self.records.contains_text(text) {
            return Run::MayHaveRun;
        }
        let acceptable = match origin {
            Origin::Ticket(ticket) => {
                self.tickets.expiry(ticket).is_some_and(|expiry| clocks.now <= expiry)
            }
            Origin::Minted { ms } => self.judge(*ms, clocks).is_ok(),
        };
        if acceptable { Run::NotRun } else { Run::MayHaveRun }
    }

    /// Stores the answer of a running job; `bytes` is the size of the answer in memory.
    pub fn finish(&mut self, key: &Key, answer: A, bytes: usize) {
        self.records.finish(key, answer, bytes);
    }

    /// Ends a running job of which no task was started. Its key may start again from `until` on.
    pub fn refuse(&mut self, key: &Key, answer: A, until: Time) {
        self.records.refuse(key, answer, until);
    }

    /// Returns how much longer a key minted at `minted_ms` is accepted.
    pub fn judge(&self, minted_ms: u64, clocks: Clocks) -> Result<Duration, Refused> {
        if !self.clock_steps.clocks_agree(clocks.wall_ms, clocks.now) {
            return Err(Refused::ClockStepped);
        }
        match self.window.judge(minted_ms, clocks.wall_ms) {
            KeyAge::Fresh(left) => Ok(left),
            KeyAge::TooOld => Err(Refused::TooOld),
            KeyAge::Ahead => Err(Refused::Ahead),
        }
    }

    /// Stops accepting new submissions.
    pub fn close(&mut self) {
        self.stage = self.stage.max(Stage::Closed);
    }

    /// Removes and returns the tickets' signing keys and all finished records, for the process that
    /// takes over. No submission is answered from this process any more.
    pub fn part(&mut self, now: Time) -> (Vec<PartedOffice>, Vec<Parted<A>>) {
        self.stage = Stage::HandedOver;
        (self.tickets.export(now), self.records.take_finished())
    }

    /// Takes over a record from a stopping process. Its `accept_until` must be converted to this
    /// process's clock.
    pub fn adopt_record(&mut self, parted: Parted<A>, bytes: usize) {
        self.records.adopt(parted, bytes);
    }

    /// Takes over the tickets of a stopping process. Call it after all its records were adopted.
    pub fn adopt_office(&mut self, parted: PartedOffice, now: Time) {
        self.tickets.adopt(parted, now);
    }

    /// Returns whether this process holds the records of `home`.
    pub fn keeps(&self, home: &Home) -> bool {
        self.tickets.holds_records_of(home)
    }

    /// Returns whether a key is recorded.
    pub fn knows(&self, key: &Key) -> bool {
        self.records.get(key).is_some()
    }

    /// Returns the lifecycle stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns whether the wall clock still agrees with the monotonic clock.
    pub fn trusts(&self, clocks: Clocks) -> bool {
        self.clock_steps.clocks_agree(clocks.wall_ms, clocks.now)
    }

    /// Removes finished records whose keys are no longer accepted. Returns how many were removed.
    pub fn expire(&mut self, now: Time) -> usize {
        self.records.expire(now)
    }

    /// Returns the records.
    pub fn records(&self) -> &Records<H, A> {
        &self.records
    }

    fn check_open(&self) -> Result<(), Refused> {
        match self.stage {
            Stage::Open => Ok(()),
            Stage::Closed => Err(Refused::Closed),
            Stage::HandedOver => Err(Refused::Parted),
        }
    }

    /// Returns until when a new key is accepted, on this process's clock.
    fn accept_until(&self, key: &Key, origin: &Origin, clocks: Clocks) -> Result<Time, Refused> {
        match origin {
            Origin::Ticket(ticket) => {
                let expiry = self.tickets.check(ticket, &key.customer);
                expiry.map_err(|_| Refused::Foreign)?.ok_or(Refused::TooOld)
            }
            // The margin keeps the record until no process that takes it over accepts the key,
            // however its clock differs.
            Origin::Minted { ms } => {
                Ok(clocks.now + self.judge(*ms, clocks)? + self.window.retention_margin())
            }
        }
    }
}
