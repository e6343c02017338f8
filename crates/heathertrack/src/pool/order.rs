//! In which order waiting jobs are started.

use super::job::Job;
use crate::clock::Time;

/// In which order waiting jobs are started.
///
/// Answers the load pattern "more arrives than can be started": what is started first decides what
/// is in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By priority, then by the instant when the answer is wanted.
    #[default]
    Priority,
    /// By the instant when the answer is wanted alone.
    Wanted,
    /// By arrival.
    Arrival,
}

/// Place of a waiting job; the smallest is started first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Jobs that can only be late come after all others.
    late: bool,
    /// Jobs that hold room come before those that don't: what they hold is wasted while they wait.
    fresh: bool,
    priority: u32,
    wanted: Time,
    sequence: u64,
}

impl Policy {
    /// The place of a job.
    pub(super) fn rank(self, job: &Job, now: Time) -> Rank {
        let wanted = match self {
            Policy::Priority | Policy::Wanted => job.wanted(),
            Policy::Arrival => Time::ZERO,
        };
        let priority = if self == Policy::Priority { job.request.priority } else { 0 };
        Rank {
            late: now > job.wanted(),
            fresh: !job.begun,
            priority,
            wanted,
            sequence: job.sequence,
        }
    }
}
