//! Order in which queued jobs are started.

use super::job::Job;
use crate::clock::Time;

/// Order in which queued jobs are started.
///
/// Under every policy, started jobs come first. Of the others, those that have waited too long to be
/// done in time come last: they get capacity that no job with a chance to be in time can use.
///
/// Addresses the load pattern "more arrives than can be started": the order of starts decides which
/// jobs are done in time, and those that miss it are answered late instead of being refused.
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
    /// Started jobs come first: the capacity that they hold is wasted while their other tasks wait.
    not_started: bool,
    /// Jobs that are probably late come after those that can be in time.
    late: bool,
    /// Priority of the job; zero for all jobs under the other policies than [`Policy::Priority`].
    priority: u32,
    /// End of the objective; the same for all jobs under [`Policy::Fifo`].
    due: Time,
    sequence: u64,
}

impl Policy {
    /// Returns the rank of a job that counts as late after it has waited for `prompt_wait_share` of
    /// its objective.
    pub(super) fn rank(self, job: &Job, prompt_wait_share: f64, now: Time) -> Rank {
        let due = match self {
            Policy::Priority | Policy::EarliestDue => job.due(),
            Policy::Fifo => Time::ZERO,
        };
        let waited = now.since(job.request.received);
        let priority = if self == Policy::Priority { job.request.priority } else { 0 };
        Rank {
            not_started: !job.has_started,
            late: waited > job.request.objective.mul_f64(prompt_wait_share),
            priority,
            due,
            sequence: job.sequence,
        }
    }
}
