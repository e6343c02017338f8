use serde::{Deserialize, Serialize};

/// A ticket as issued to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Text of the ticket.
    pub ticket: String,
    /// Duration for which the ticket is valid, in milliseconds.
    pub valid_ms: u64,
}
