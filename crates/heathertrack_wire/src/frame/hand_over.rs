use super::Home;
use crate::caller::Outcome;
use serde::{Deserialize, Serialize};

/// One part of a handover: records of a stopping process, sent to the peer that takes over. The
/// peer becomes the home only with the last part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverPart {
    /// The stopping process.
    pub from: Home,
    /// The process that takes over.
    pub to: Home,
    /// Data to verify the tickets of the stopping process and of those that it took over from.
    pub tickets: Vec<HandedOverTickets>,
    /// Records of ended jobs.
    pub records: Vec<HandedOverRecord>,
    /// Whether this is the last part.
    pub last: bool,
}

/// Data to verify the tickets of one home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedOverTickets {
    /// The home that issued the tickets.
    pub home: Home,
    /// Secret with which the home signed the tickets.
    pub secret: [u8; 32],
    /// Time since the start of the home when the message was sent, in microseconds.
    pub now_us: u64,
}

/// Record of an ended job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedOverRecord {
    /// Customer of the job.
    pub customer: String,
    /// Idempotency key of the job.
    pub key: String,
    /// Digest of the body, or `None` if no job was submitted under the key.
    pub digest: Option<[u8; 16]>,
    /// Remaining time for which the key is accepted, in microseconds.
    pub accept_for_us: u64,
    /// Outcome of the job, if it is still kept.
    pub outcome: Option<Outcome>,
}

/// Reply to one part of a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverReply {
    /// The part was taken.
    Taken,
    /// The part was refused: the receiver is not the intended process, or is stopping too.
    Declined,
}
