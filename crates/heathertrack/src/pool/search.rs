//! Search for a job that is to be cancelled, over all hosts that may hold it.
//!
//! Addresses the load pattern "a caller cancels a job at another host than the one that runs it,
//! while hosts are lost, cut off or replaced": the job is reported as absent only on proof.

use crate::name::Host;
use std::collections::BTreeMap;

/// What a host knows of a job that was to be cancelled there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holding {
    /// It held the job, and has cancelled it.
    Held,
    /// It doesn't hold the job, and will not start any of its tasks.
    Absent,
    /// It can't say: an upstream lists runs of the job that another dispatcher started, or the host has
    /// just started, or it can't remember that the job was cancelled.
    Unknown,
}

/// Result of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A host held the job, and has cancelled it.
    Cancelled,
    /// Nothing of the job runs or will run.
    Absent,
}

/// Answers of the hosts that were asked to cancel a job.
#[derive(Debug, Default)]
pub struct Search {
    answers: BTreeMap<Host, Holding>,
}

impl Search {
    /// Records the answer of a host. The last one counts, but a host that held the job keeps having
    /// held it.
    pub fn record(&mut self, host: Host, holding: Holding) {
        let answer = self.answers.entry(host).or_insert(holding);
        if *answer != Holding::Held {
            *answer = holding;
        }
    }

    /// Returns the result once the answers give one. `may_hold` are all hosts that may hold the job.
    pub fn verdict<'a>(&self, may_hold: impl IntoIterator<Item = &'a Host>) -> Option<Verdict> {
        if self.answers.values().any(|holding| *holding == Holding::Held) {
            return Some(Verdict::Cancelled);
        }
        self.undecided(may_hold).is_empty().then_some(Verdict::Absent)
    }

    /// Returns the hosts that may hold the job and have not answered that they don't.
    pub fn undecided<'a>(&self, may_hold: impl IntoIterator<Item = &'a Host>) -> Vec<&'a Host> {
        let is_undecided = |host: &&Host| self.answers.get(*host) != Some(&Holding::Absent);
        may_hold.into_iter().filter(is_undecided).collect()
    }
}
