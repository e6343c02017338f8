use super::job::Id;
use std::fmt;

/// Identifier of one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Task {
    /// The job.
    pub job: Id,
    /// Occurrence of a repeated job; zero for all others.
    pub occurrence: u64,
    /// Index of the step, from zero.
    pub step: u32,
    /// Index of the task within its step, from zero.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}
