use super::RunKey;
use crate::name::Upstream;

/// A task that must be sent to an upstream now.
#[derive(Debug)]
pub struct Assignment<T> {
    /// Names the run until it ends.
    pub run: RunKey,
    /// The upstream's name.
    pub upstream: Upstream,
    /// The upstream's address.
    pub address: String,
    /// What was given with the task.
    pub payload: T,
}
