//! Order in which queued jobs are started.

use super::job::Job;
use crate::clock::Time;

/// Order in which queued jobs are started.
///
/// Under every policy, jobs past their objective come after all others, and within both groups
/// started jobs come first.
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
    /// By submission to the dispatcher.
    Fifo,
}

/// Rank of a queued job; the lowest is started first. Ranks are compared field by field, in this
/// order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Jobs past their objective come after all others.
    late: bool,
    /// Started jobs come first: the capacity that they hold is wasted while their other tasks wait.
    not_started: bool,
    /// Priority of the job; zero for all jobs under the other policies than [`Policy::Priority`].
    priority: u32,
    /// End of the objective; the same for all jobs under [`Policy::Fifo`].
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
