//! The record of submissions that a home keeps, so that each is started at most once.

mod digest;
mod holdings;
mod key;
mod limits;
mod store;

pub use digest::Digest;
pub use key::Key;
pub use limits::Limits;
pub use store::{Parted, Records};

/// What a submission finds in the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry<H, A> {
    /// It is new: the caller of this function must start it, once.
    Begin,
    /// It is running: wait on the handle given at its beginning.
    Join(H),
    /// It has ended with this answer.
    Known(A),
    /// It has ended and its answer is no longer kept.
    Spent,
    /// It was cancelled before it came: it was not and will not be started.
    Barred,
    /// The key was used before with another body.
    Conflict,
    /// The key is past its time and nothing is known of it: it may have run.
    TooLate,
    /// No room for another record: nothing was started.
    Full,
}

/// What a cancellation finds in the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cancelled<H, A> {
    /// It is running: tell it through its handle.
    Running(H),
    /// It has ended with this answer.
    Known(A),
    /// It has ended and its answer is no longer kept.
    Spent,
    /// It had not come; if it still comes, it will not be started.
    Barred,
    /// It had not come, and there is no room to remember its cancellation.
    Full,
    /// The key is past its time and nothing is known of it: it may have run.
    TooLate,
}
