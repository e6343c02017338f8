use std::process::ExitCode;

/// How the program ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// All went well.
    Done,
    /// Something could not be reached, read or done.
    Failed,
    /// A document has findings.
    Findings,
    /// The edit was accepted, but is not in force on every host that was asked.
    NotInForce,
    /// The list was changed by somebody else; nothing was written.
    Conflict,
    /// The job has no answer, and nothing of it ran.
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
