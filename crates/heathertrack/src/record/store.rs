use super::memory_usage::{AnswerSequence, MemoryUsage};
use super::{Admission, CancelResult, Digest, Key, Limits};
use crate::clock::Time;
use crate::name::Customer;
use std::collections::{BTreeMap, BTreeSet};

/// A customer gets a new record only while it holds fewer records than this multiple of the free
/// ones. So one customer alone can hold two thirds of all records, and however many customers hold
/// as many as they can, another one still gets some.
const MAX_RATIO_TO_FREE: usize = 2;

/// Records of the submissions that this process has accepted.
///
/// `H` is a handle to a running job, `A` the answer of a finished one. A record is removed only
/// after its job has finished and its key is no longer accepted, so its removal never lets a task
/// start again.
#[derive(Debug)]
pub struct Records<H, A> {
    limits: Limits,
    entries: BTreeMap<Key, Record<H, A>>,
    /// Keys of all records, ordered by `accept_until`.
    by_expiry: BTreeSet<(Time, Key)>,
    usage: MemoryUsage,
}

#[derive(Debug)]
struct Record<H, A> {
    /// Digest of the body; `None` if the job was cancelled before it was submitted.
    digest: Option<Digest>,
    accept_until: Time,
    state: State<H, A>,
}

#[derive(Debug)]
enum State<H, A> {
    Running(H),
    Done {
        answer: A,
        sequence: AnswerSequence,
    },
    /// Done, but the answer was dropped to free memory.
    AnswerDropped,
    /// Cancelled before it was submitted.
    CancelledEarly,
    /// No task was started. Resubmissions get this answer until `refused_until`.
    Refused {
        answer: A,
        refused_until: Time,
    },
}

/// Record handed over to a peer at a planned stop. Its job is not running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordHandover<A> {
    /// Key of the submission.
    pub key: Key,
    /// Digest of the body; `None` if the job was cancelled before it was submitted.
    pub digest: Option<Digest>,
    /// Time until which the key is accepted, on the clock of the process that hands it over.
    pub accept_until: Time,
    /// The answer, unless it was dropped.
    pub answer: Option<A>,
}

impl<H: Clone, A: Clone> Records<H, A> {
    /// Creates an empty set of records with these limits.
    pub fn new(limits: Limits) -> Self {
        Records {
            limits,
            entries: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            usage: MemoryUsage::default(),
        }
    }

    /// Records a new submission as running under `handle`, or returns the existing record.
    ///
    /// A new key is accepted until `accept_until`; an existing record is found after that, too.
    pub fn submit(
        &mut self,
        key: &Key,
        digest: Digest,
        accept_until: Time,
        now: Time,
        handle: H,
    ) -> Admission<H, A> {
        if let Some(record) = self.entries.get(key) {
            return record.admission(digest);
        }
        if now > accept_until {
            return Admission::Expired;
        }
        if !self.has_capacity(&key.customer) {
            return Admission::Full;
        }
        self.insert(key, Some(digest), accept_until, State::Running(handle));
        Admission::Started
    }

    /// Returns the record of a submission, without creating one.
    pub fn get(&self, key: &Key) -> Option<Admission<H, A>> {
        let record = self.entries.get(key)?;
        Some(record.state.admission())
    }

    /// Returns whether any customer has a record whose key has this text.
    pub fn contains_text(&self, text: &str) -> bool {
        // The empty customer name sorts before all others.
        let first = Key::new("", text);
        self.entries.range(first..).next().is_some_and(|(key, _)| &*key.text == text)
    }

    /// Stores the answer of a running job; `bytes` is its size in memory.
    pub fn finish(&mut self, key: &Key, answer: A, bytes: usize) {
        if !self.is_running(key) {
            return;
        }
        let sequence = self.usage.add_answer(key, bytes);
        if let Some(record) = self.entries.get_mut(key) {
            record.state = State::Done { answer, sequence };
        }
        self.evict_answers();
    }

    /// Ends a running job of which no task was started.
    ///
    /// Resubmissions get `answer` until `refused_until`; from then on the key may be submitted
    /// again. Without the delay a resubmission could start the job while the answer that it did not
    /// run is still on its way to an earlier caller.
    pub fn refuse(&mut self, key: &Key, answer: A, refused_until: Time) {
        if !self.is_running(key) {
            return;
        }
        if let Some(record) = self.entries.get_mut(key) {
            record.state = State::Refused { answer, refused_until };
        }
    }

    /// Removes the record of a refused job whose `refused_until` has passed, so that the job may
    /// start.
    pub fn remove_expired_refusal(&mut self, key: &Key, now: Time) {
        let expired = self.entries.get(key).is_some_and(
            |record| matches!(record.state, State::Refused { refused_until, .. } if refused_until <= now),
        );
        if expired {
            self.remove(key);
        }
    }

    /// Cancels a submission. If it has not arrived yet, it will not start when it does.
    pub fn cancel(&mut self, key: &Key, accept_until: Time, now: Time) -> CancelResult<H, A> {
        if let Some(record) = self.entries.get(key) {
            return match &record.state {
                State::Running(handle) => CancelResult::Running(handle.clone()),
                State::Done { answer, .. } => CancelResult::Finished(answer.clone()),
                State::AnswerDropped => CancelResult::AnswerDropped,
                State::CancelledEarly => CancelResult::CancelledEarly,
                State::Refused { answer, .. } => CancelResult::Finished(answer.clone()),
            };
        }
        if now > accept_until {
            return CancelResult::Expired;
        }
        if !self.has_capacity(&key.customer) {
            return CancelResult::Full;
        }
        self.insert(key, None, accept_until, State::CancelledEarly);
        CancelResult::CancelledEarly
    }

    /// Removes the records of jobs that are not running and whose keys are no longer accepted.
    /// Returns how many were removed.
    pub fn expire(&mut self, now: Time) -> usize {
        let due: Vec<Key> = self
            .by_expiry
            .iter()
            .take_while(|(accept_until, _)| *accept_until < now)
            .filter(|(_, key)| !self.is_running(key))
            .map(|(_, key)| key.clone())
            .collect();
        for key in &due {
            self.remove(key);
        }
        due.len()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of running jobs.
    pub fn running(&self) -> usize {
        self.entries.values().filter(|record| matches!(record.state, State::Running(_))).count()
    }

    /// Returns the size of all stored answers in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.usage.answer_bytes()
    }

    /// Removes and returns the records of all jobs that are not running, for the peer that takes
    /// over at a planned stop.
    pub fn take_finished(&mut self) -> Vec<RecordHandover<A>> {
        let not_running: Vec<Key> =
            self.entries.keys().filter(|key| !self.is_running(key)).cloned().collect();
        not_running.iter().filter_map(|key| self.take(key)).collect()
    }

    /// Adds a record handed over by a peer, unless its key is recorded here. Its `accept_until`
    /// must be converted to this process's clock; `bytes` is the size of its answer in memory.
    pub fn adopt(&mut self, handover: RecordHandover<A>, bytes: usize) {
        if self.entries.contains_key(&handover.key) {
            return;
        }
        let RecordHandover { key, digest, accept_until, answer } = handover;
        let state = match (answer, digest) {
            (Some(answer), _) => {
                let sequence = self.usage.add_answer(&key, bytes);
                State::Done { answer, sequence }
            }
            (None, Some(_)) => State::AnswerDropped,
            (None, None) => State::CancelledEarly,
        };
        self.insert(&key, digest, accept_until, state);
        self.evict_answers();
    }

    fn has_capacity(&self, customer: &Customer) -> bool {
        let free = self.limits.records.saturating_sub(self.entries.len());
        self.usage.records(customer) < MAX_RATIO_TO_FREE * free
    }

    fn insert(
        &mut self,
        key: &Key,
        digest: Option<Digest>,
        accept_until: Time,
        state: State<H, A>,
    ) {
        self.by_expiry.insert((accept_until, key.clone()));
        self.usage.add_record(&key.customer);
        self.entries.insert(key.clone(), Record { digest, accept_until, state });
    }

    fn remove(&mut self, key: &Key) -> Option<Record<H, A>> {
        let record = self.entries.remove(key)?;
        self.by_expiry.remove(&(record.accept_until, key.clone()));
        if let State::Done { sequence, .. } = record.state {
            self.usage.remove_answer(&key.customer, sequence);
        }
        self.usage.remove_record(&key.customer);
        Some(record)
    }

    fn take(&mut self, key: &Key) -> Option<RecordHandover<A>> {
        let record = self.remove(key)?;
        let answer = match record.state {
            State::Done { answer, .. } | State::Refused { answer, .. } => Some(answer),
            _ => None,
        };
        let Record { digest, accept_until, .. } = record;
        Some(RecordHandover { key: key.clone(), digest, accept_until, answer })
    }

    fn is_running(&self, key: &Key) -> bool {
        self.entries.get(key).is_some_and(|record| matches!(record.state, State::Running(_)))
    }

    /// Drops answers until the rest fits within the limit.
    fn evict_answers(&mut self) {
        while self.usage.answer_bytes() > self.limits.answer_bytes {
            let Some(key) = self.usage.evict_answer() else {
                return;
            };
            if let Some(record) = self.entries.get_mut(&key) {
                record.state = State::AnswerDropped;
            }
        }
    }
}

impl<H: Clone, A: Clone> Record<H, A> {
    fn admission(&self, digest: Digest) -> Admission<H, A> {
        match self.digest {
            Some(recorded) if recorded != digest => Admission::Conflict,
            _ => self.state.admission(),
        }
    }
}

impl<H: Clone, A: Clone> State<H, A> {
    fn admission(&self) -> Admission<H, A> {
        match self {
            State::Running(handle) => Admission::Running(handle.clone()),
            State::Done { answer, .. } => Admission::Finished(answer.clone()),
            State::AnswerDropped => Admission::AnswerDropped,
            State::CancelledEarly => Admission::CancelledEarly,
            State::Refused { answer, .. } => Admission::Finished(answer.clone()),
        }
    }
}
