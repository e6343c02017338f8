use serde::{Deserialize, Serialize};

/// A ticket as it is given to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The ticket.
    pub ticket: String,
    /// For how long it may be used, in milliseconds.
    pub valid_ms: u64,
}
