//! Order in which queued jobs are started.

use super::job::Job;
use crate::clock::Time;

/// Order in which queued jobs are started.
///
/// Addresses the load pattern "more arrives than can be started": the order of starts decides which
/// jobs are done in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By priority, then by the end of the objective.
    #[default]
    Priority,
    /// By the end of the objective alone.
    EarliestDue,
    /// By arrival.
    Fifo,
}

/// Rank of a queued job; the lowest is started first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Jobs past their objective come after all others.
    late: bool,
    /// Jobs without a start come after those that hold capacity, which is wasted while they wait.
    not_started: bool,
    priority: u32,
    due: Time,
    sequence: u64,
}

impl Policy {
    /// Returns the rank of a job.
    pub(super) fn rank(self, job: &Job, now: Time) -> Rank {
        let due = match self {
            Policy::Priority | Policy::EarliestDue => job.due(),
            Policy::Fifo => Time::ZERO,
        };
        let priority = if self == Policy::Priority { job.request.priority } else { 0 };
        Rank {
            late: now > job.due(),
            not_started: !job.has_started,
            priority,
            due,
            sequence: job.sequence,
        }
    }
}
