use super::Home;
use crate::caller::Outcome;
use serde::{Deserialize, Serialize};

/// One part of a handover: records of a stopping process, sent to its successor. The successor
/// becomes the home of their keys only with the last part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverPart {
    /// The stopping process.
    pub from: Home,
    /// The successor.
    pub to: Home,
    /// Data to verify the tickets of the stopping process, and of the processes whose records it
    /// took over.
    pub tickets: Vec<HandedOverTickets>,
    /// Records that the successor takes over with this part.
    pub records: Vec<HandedOverRecord>,
    /// Whether this is the last part.
    pub last: bool,
}

/// Data to verify the tickets of one home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedOverTickets {
    /// The process that issued the tickets.
    pub home: Home,
    /// Secret with which it signed the tickets.
    pub secret: [u8; 32],
    /// Time on its clock when the message was sent, in microseconds since its start. The expiry of
    /// a ticket is a time on this clock.
    pub now_us: u64,
}

/// Record of an ended job, or of a job that was cancelled before it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedOverRecord {
    /// Customer of the job.
    pub customer: String,
    /// Idempotency key of the job.
    pub key: String,
    /// Digest of the body, or `None` if the job was cancelled before it was submitted.
    pub digest: Option<[u8; 16]>,
    /// Remaining time for which the key is accepted, in microseconds.
    pub accept_for_us: u64,
    /// Outcome of the job, if it is still kept.
    pub outcome: Option<Outcome>,
}

/// Reply to one part of a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverReply {
    /// The receiver has taken the part over.
    Taken,
    /// The part was refused: the receiver is not the intended process, or is stopping too.
    Declined,
}
