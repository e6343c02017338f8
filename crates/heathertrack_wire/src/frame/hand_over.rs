use super::Home;
use crate::caller::Outcome;
use serde::{Deserialize, Serialize};

/// The records of a process that stops, handed to the peer that takes over. Comes in parts; only
/// with the last one does the peer become the home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// The process that stops.
    pub from: Home,
    /// The process that is to take over.
    pub to: Home,
    /// What it needs to check its tickets, and those that it took over itself.
    pub tickets: Vec<PartedTickets>,
    /// Records of jobs that have ended.
    pub records: Vec<PartedRecord>,
    /// Whether this is the last part.
    pub last: bool,
}

/// What is needed to check the tickets of one home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartedTickets {
    /// The home.
    pub home: Home,
    /// Its signing secret.
    pub secret: [u8; 32],
    /// The home's clock at sending, in microseconds since its start.
    pub now_us: u64,
}

/// The record of one job that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartedRecord {
    /// The customer.
    pub customer: String,
    /// The idempotency key.
    pub key: String,
    /// Fingerprint of the body, if the job came at all.
    pub digest: Option<[u8; 16]>,
    /// For how much longer its key is accepted, in microseconds.
    pub accept_for_us: u64,
    /// The answer, if still kept.
    pub outcome: Option<Outcome>,
}

/// Whether a part was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Acceptance {
    /// It was.
    Taken,
    /// The process is another one, or stops itself.
    Declined,
}
