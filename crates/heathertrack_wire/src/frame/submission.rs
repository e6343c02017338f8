use super::Home;
use serde::{Deserialize, Serialize};

/// A caller's request, forwarded to the home of its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The intended receiver. Another process at the same address must not take the request.
    pub home: Home,
    /// Customer that sent the request. The entry host has checked its token.
    pub customer: String,
    /// The idempotency key.
    pub key: String,
    /// Requested action.
    pub action: Action,
    /// Remaining time until the answer is due, in milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u64,
}

/// Action requested from a home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Start a job with this body, or wait for the job already submitted under the key.
    Submit(String),
    /// Wait for the answer of the job.
    #[serde(rename = "Look")]
    Wait,
    /// Cancel the job.
    Cancel,
    /// Report whether a job of any customer may have run under the key.
    Probe,
}
