use crate::run::ExecutionStatus;
use thiserror::Error;

/// Reason why a request under a key that has no record here is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The ticket was not issued to this customer by a home whose records are held here.
    #[error("the ticket was not issued to this customer")]
    ForeignTicket,
    /// The process accepts no new submissions.
    #[error("this host is stopping")]
    Closed,
    /// The records were handed over to another process.
    #[error("the record of this key is not here")]
    HandedOver,
    /// The key is no longer accepted, so its record may have been removed.
    #[error("the key is past its time")]
    KeyTooOld,
    /// The key was minted later than this host's wall clock says, by more than twice the allowed
    /// skew.
    #[error("the key's time lies ahead of this clock")]
    KeyAhead,
    /// The wall clock was stepped, so the age of minted keys is unknown.
    #[error("the wall clock was stepped; minted keys cannot be judged here")]
    ClockStepped,
    /// No job was submitted under the key.
    #[error("no job came under this key")]
    UnknownKey,
    /// The customer may hold no further record.
    #[error("too many jobs are recorded")]
    Full,
}

impl Refusal {
    /// Returns whether the job may have run.
    pub fn execution_status(self) -> ExecutionStatus {
        match self {
            // A key under a foreign ticket was never accepted. A closed or full registry refuses
            // only keys that have no record, and an unknown key is still accepted but has none.
            Refusal::ForeignTicket | Refusal::Closed | Refusal::UnknownKey | Refusal::Full => {
                ExecutionStatus::NotRun
            }
            // `KeyAhead`: another host, whose clock is further ahead, may have accepted the key.
            Refusal::KeyAhead
            | Refusal::HandedOver
            | Refusal::KeyTooOld
            | Refusal::ClockStepped => ExecutionStatus::MayHaveRun,
        }
    }
}
