use super::{Origin, Refusal, TicketAuthority, TicketHandover};
use crate::claim::{ClockStepDetector, KeyAge, KeyWindow};
use crate::clock::Time;
use crate::name::Customer;
use crate::record::{Admission, CancelResult, Digest, Key, Limits, RecordHandover, Records};
use crate::run::ExecutionStatus;
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

/// Lifecycle stage of a [`SubmissionRegistry`]; it only moves forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Accepts new submissions.
    Open,
    /// Accepts no new submissions, but still answers for recorded ones.
    Closed,
    /// The records were removed for a handover to another process, which may have failed.
    HandedOver,
}

/// Accepts, deduplicates and answers the submissions of one process.
///
/// `H` is a handle to a running job, `A` the answer of a finished one.
#[derive(Debug)]
pub struct SubmissionRegistry<H, A> {
    records: Records<H, A>,
    tickets: TicketAuthority,
    window: KeyWindow,
    clock_steps: ClockStepDetector,
    stage: Stage,
}

impl<H: Clone, A: Clone> SubmissionRegistry<H, A> {
    /// Creates an open registry without records.
    pub fn new(issuer: Issuer, window: KeyWindow, limits: Limits, clocks: Clocks) -> Self {
        SubmissionRegistry {
            records: Records::new(limits),
            tickets: TicketAuthority::new(issuer),
            window,
            clock_steps: ClockStepDetector::new(window.skew, clocks.wall_ms, clocks.now),
            stage: Stage::Open,
        }
    }

    /// Issues a ticket that expires `validity` from `now`. Fails unless the registry is open.
    pub fn issue(
        &mut self,
        customer: &Customer,
        now: Time,
        validity: Duration,
    ) -> Result<Ticket, Refusal> {
        self.check_open()?;
        Ok(self.tickets.issue(customer, now, validity))
    }

    /// Submits a job: starts it under `handle`, returns its existing record, or refuses it.
    pub fn submit(
        &mut self,
        key: &Key,
        origin: &Origin,
        digest: Digest,
        clocks: Clocks,
        handle: H,
    ) -> Result<Admission<H, A>, Refusal> {
        self.records.remove_expired_refusal(key, clocks.now);
        if self.records.get(key).is_some() {
            // A recorded key is found whatever its age; the `accept_until` of `Time::ZERO` applies
            // only to new keys.
            return Ok(self.records.submit(key, digest, Time::ZERO, clocks.now, handle));
        }
        self.check_open()?;
        let accept_until = self.accept_until(key, origin, clocks)?;
        match self.records.submit(key, digest, accept_until, clocks.now, handle) {
            Admission::Expired => Err(Refusal::KeyTooOld),
            Admission::Full => Err(Refusal::Full),
            admission => Ok(admission),
        }
    }

    /// Returns the record of a submission.
    pub fn lookup(
        &self,
        key: &Key,
        origin: &Origin,
        clocks: Clocks,
    ) -> Result<Admission<H, A>, Refusal> {
        if let Some(admission) = self.records.get(key) {
            return Ok(admission);
        }
        if self.stage == Stage::HandedOver {
            return Err(Refusal::HandedOver);
        }
        let accept_until = self.accept_until(key, origin, clocks)?;
        // Records are kept for as long as their keys are accepted, so a key that is still accepted
        // and has no record was never submitted.
        Err(if clocks.now <= accept_until { Refusal::UnknownKey } else { Refusal::KeyTooOld })
    }

    /// Cancels a submission. If it has not arrived yet, it will not start when it does.
    pub fn cancel(
        &mut self,
        key: &Key,
        origin: &Origin,
        clocks: Clocks,
    ) -> Result<CancelResult<H, A>, Refusal> {
        let accept_until = match self.records.get(key) {
            // Applies only to new keys.
            Some(_) => Time::ZERO,
            None if self.stage == Stage::HandedOver => return Err(Refusal::HandedOver),
            None => self.accept_until(key, origin, clocks)?,
        };
        match self.records.cancel(key, accept_until, clocks.now) {
            CancelResult::Expired => Err(Refusal::KeyTooOld),
            cancelled => Ok(cancelled),
        }
    }

    /// Returns whether a job under the idempotency key `text` may have run, whichever customer
    /// submitted it. A ticket's tag is not verified, as that takes the customer.
    pub fn probe(&self, text: &str, origin: &Origin, clocks: Clocks) -> ExecutionStatus {
        if self.stage == Stage::HandedOver || self.records.contains_text(text) {
            return ExecutionStatus::MayHaveRun;
        }
        let acceptable = match origin {
            Origin::Ticket(ticket) => {
                self.tickets.expiry(ticket).is_some_and(|expiry| clocks.now <= expiry)
            }
            Origin::Minted { ms } => self.check_minted(*ms, clocks).is_ok(),
        };
        if acceptable { ExecutionStatus::NotRun } else { ExecutionStatus::MayHaveRun }
    }

    /// Stores the answer of a running job; `bytes` is the size of the answer in memory.
    pub fn finish(&mut self, key: &Key, answer: A, bytes: usize) {
        self.records.finish(key, answer, bytes);
    }

    /// Ends a running job of which no task was started. Resubmissions get `answer` until
    /// `refused_until`; from then on the job may start.
    pub fn refuse(&mut self, key: &Key, answer: A, refused_until: Time) {
        self.records.refuse(key, answer, refused_until);
    }

    /// Returns how much longer a key minted at `minted_ms` is accepted.
    pub fn check_minted(&self, minted_ms: u64, clocks: Clocks) -> Result<Duration, Refusal> {
        if !self.clock_steps.clocks_agree(clocks.wall_ms, clocks.now) {
            return Err(Refusal::ClockStepped);
        }
        match self.window.check(minted_ms, clocks.wall_ms) {
            KeyAge::Fresh(left) => Ok(left),
            KeyAge::TooOld => Err(Refusal::KeyTooOld),
            KeyAge::Ahead => Err(Refusal::KeyAhead),
        }
    }

    /// Stops accepting new submissions.
    pub fn close(&mut self) {
        self.stage = self.stage.max(Stage::Closed);
    }

    /// Removes and returns the tickets' signing keys and all finished records, for the process that
    /// takes over. From then on this process answers only for jobs that are still running.
    pub fn hand_over(&mut self, now: Time) -> (Vec<TicketHandover>, Vec<RecordHandover<A>>) {
        self.stage = Stage::HandedOver;
        (self.tickets.export(now), self.records.take_finished())
    }

    /// Takes over a record from a stopping process. Its `accept_until` must be converted to this
    /// process's clock; `bytes` is the size of its answer in memory.
    pub fn adopt_record(&mut self, handover: RecordHandover<A>, bytes: usize) {
        self.records.adopt(handover, bytes);
    }

    /// Takes over the tickets of a stopping process. Call it after all its records were adopted,
    /// as from then on a key of its tickets without a record counts as never submitted. `now` is
    /// the time of the handover on this process's clock.
    pub fn adopt_tickets(&mut self, handover: TicketHandover, now: Time) {
        self.tickets.adopt(handover, now);
    }

    /// Returns whether this process holds the records of `home`.
    pub fn holds_records_of(&self, home: &Home) -> bool {
        self.tickets.holds_records_of(home)
    }

    /// Returns whether a key is recorded.
    pub fn contains(&self, key: &Key) -> bool {
        self.records.get(key).is_some()
    }

    /// Returns the lifecycle stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns whether the wall clock still agrees with the monotonic clock.
    pub fn clocks_agree(&self, clocks: Clocks) -> bool {
        self.clock_steps.clocks_agree(clocks.wall_ms, clocks.now)
    }

    /// Removes the records of jobs that are not running and whose keys are no longer accepted.
    /// Returns how many were removed.
    pub fn expire(&mut self, now: Time) -> usize {
        self.records.expire(now)
    }

    /// Returns the records.
    pub fn records(&self) -> &Records<H, A> {
        &self.records
    }

    fn check_open(&self) -> Result<(), Refusal> {
        match self.stage {
            Stage::Open => Ok(()),
            Stage::Closed => Err(Refusal::Closed),
            Stage::HandedOver => Err(Refusal::HandedOver),
        }
    }

    /// Returns the time until which the record of a new key must be kept, on this process's clock.
    /// Fails if the key is not accepted now.
    fn accept_until(&self, key: &Key, origin: &Origin, clocks: Clocks) -> Result<Time, Refusal> {
        match origin {
            Origin::Ticket(ticket) => {
                let expiry = self.tickets.check(ticket, &key.customer);
                expiry.map_err(|_| Refusal::ForeignTicket)?.ok_or(Refusal::KeyTooOld)
            }
            // The margin keeps the record until no process that takes it over accepts the key any
            // more, even if its clock is behind this one.
            Origin::Minted { ms } => {
                Ok(clocks.now + self.check_minted(*ms, clocks)? + self.window.retention_margin())
            }
        }
    }
}
