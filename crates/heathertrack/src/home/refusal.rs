use crate::run::ExecutionStatus;
use thiserror::Error;

/// Reason why a key that has no record here is not started.
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
    /// The key was minted later than the wall clock and the allowed skew permit.
    #[error("the key's time lies ahead of this clock")]
    KeyAhead,
    /// The wall clock was stepped, so the age of minted keys is unknown.
    #[error("the wall clock was stepped; minted keys cannot be judged here")]
    ClockStepped,
    /// No job was submitted under the key.
    #[error("no job came under this key")]
    UnknownKey,
    /// The limit on records is reached.
    #[error("too many jobs are recorded")]
    Full,
}

impl Refusal {
    /// Returns whether the job may have run.
    pub fn run(self) -> ExecutionStatus {
        match self {
            // A forged key was never accepted. A closed or full registry refuses only keys that
            // have no record.
            Refusal::ForeignTicket | Refusal::Closed | Refusal::UnknownKey | Refusal::Full => {
                ExecutionStatus::NotRun
            }
            // For `Ahead`: the clock of another host may be ahead of this one by more than the key,
            // so that host may have accepted it.
            Refusal::KeyAhead
            | Refusal::HandedOver
            | Refusal::KeyTooOld
            | Refusal::ClockStepped => ExecutionStatus::MayHaveRun,
        }
    }
}
