use crate::run::Run;
use thiserror::Error;

/// Why a desk does not know a key and won't begin it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refused {
    /// The ticket was not issued to this customer by a home whose records are kept here.
    #[error("the ticket was not issued to this customer")]
    Foreign,
    /// The process takes no new work.
    #[error("this host is stopping")]
    Closed,
    /// The records are with another process.
    #[error("the record of this key is not here")]
    Parted,
    /// The key is past its time.
    #[error("the key is past its time")]
    TooOld,
    /// The key's time lies ahead of the clock.
    #[error("the key's time lies ahead of this clock")]
    Ahead,
    /// The wall clock was stepped, so minted keys can't be judged.
    #[error("the wall clock was stepped; minted keys cannot be judged here")]
    ClockStepped,
    /// No job came under the key.
    #[error("no job came under this key")]
    NeverCame,
    /// No room for another record.
    #[error("too many jobs are recorded")]
    Full,
}

impl Refused {
    /// What may be said of the job.
    pub fn run(self) -> Run {
        match self {
            // A forged key was never accepted, and a closed or full desk looked first.
            Refused::Foreign | Refused::Closed | Refused::NeverCame | Refused::Full => Run::NotRun,
            // Another host's clock may be ahead of this one's by more than the key is.
            Refused::Ahead | Refused::Parted | Refused::TooOld | Refused::ClockStepped => {
                Run::MayHaveRun
            }
        }
    }
}
