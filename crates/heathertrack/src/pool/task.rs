use super::job::Id;
use std::fmt;

/// Names one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Task {
    /// The job.
    pub job: Id,
    /// Which time a repeated job runs; zero for all others.
    pub occurrence: u64,
    /// The step, counted from zero.
    pub step: u32,
    /// The task within its step, counted from zero.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}
