use super::Home;
use serde::{Deserialize, Serialize};

/// A caller's request, on its way to the home of its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The process that it is meant for; another one at the same address must not take it.
    pub home: Home,
    /// The customer, whose token the sender has checked.
    pub customer: String,
    /// The idempotency key.
    pub key: String,
    /// What is asked.
    pub action: Action,
    /// Time left until the answer is due, in milliseconds.
    pub left_ms: u64,
}

/// What is asked of a home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Start the job with this body, or join it.
    Submit(String),
    /// Wait for its answer.
    Look,
    /// Cancel it.
    Cancel,
    /// Tell whether a job of any customer may have run under the key.
    Probe,
}
