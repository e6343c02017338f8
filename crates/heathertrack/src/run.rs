//! What may be said of a job that has no answer: that it did not run, or that it may have.

mod evidence;

pub use evidence::Evidence;

/// What is known of a job that has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Run {
    /// No byte of any of its tasks has left, and none will.
    NotRun,
    /// Some of its tasks may have run.
    MayHaveRun,
}
