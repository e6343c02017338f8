//! Records of the submissions to one home, which make sure that each job starts at most once.

mod digest;
mod key;
mod limits;
mod memory_usage;
mod store;

pub use digest::Digest;
pub use key::Key;
pub use limits::Limits;
pub use store::{RecordHandover, Records};

/// Result of submitting or looking up a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission<H, A> {
    /// The key is new and is now recorded as running. The caller of the function must start the job
    /// exactly once.
    Started,
    /// The job is running: wait on the handle that was passed when it started.
    Running(H),
    /// The job finished with this answer.
    Finished(A),
    /// The job finished, and its answer was dropped to free memory.
    AnswerDropped,
    /// The job was cancelled before it was submitted: it did not start and will not.
    CancelledEarly,
    /// The key was used before with another body.
    Conflict,
    /// The key is no longer accepted and has no record: the job may have run.
    Expired,
    /// The customer may hold no further record: nothing was started.
    Full,
}

/// Result of cancelling a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CancelResult<H, A> {
    /// The job is running: cancel it through its handle.
    Running(H),
    /// The job finished with this answer.
    Finished(A),
    /// The job finished, and its answer was dropped to free memory.
    AnswerDropped,
    /// The job was not submitted yet, and will not start if it is.
    CancelledEarly,
    /// The job was not submitted yet, and the customer may hold no further record, so the
    /// cancellation is not remembered.
    Full,
    /// The key is no longer accepted and has no record: the job may have run.
    Expired,
}
