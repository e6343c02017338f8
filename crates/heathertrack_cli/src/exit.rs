use std::process::ExitCode;

/// Exit status of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed, for example because a host or a file could not be read.
    Failed,
    /// A document has findings.
    Findings,
    /// The edit was accepted, but is not in force on every host that was asked, or no host was
    /// asked.
    NotInForce,
    /// The list was changed by another edit, and nothing was written.
    Conflict,
    /// The job has no answer, and no part of it ran.
    NotRun,
    /// The job has no answer, and may have run.
    MayHaveRun,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(match exit {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Findings => 2,
            Exit::NotInForce => 3,
            Exit::Conflict => 4,
            Exit::NotRun => 5,
            Exit::MayHaveRun => 6,
        })
    }
}
