//! Whether a job that has no answer may have run.

mod handover_tracker;

pub use handover_tracker::HandoverTracker;

/// Whether a job that has no answer may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExecutionStatus {
    /// No byte of any of its tasks was sent to an upstream, and none will be.
    NotRun,
    /// Some of its tasks may have run.
    MayHaveRun,
}
