//! Outcomes for callers whose key does not start a new job.

use super::Handle;
use heathertrack::home::Refused;
use heathertrack::record::Entry;
use heathertrack::run::Run;
use heathertrack_wire::caller::{Kind, Outcome, Problem};
use std::sync::Arc;

/// Builds an outcome from a problem.
pub fn problem(kind: Kind, run: Run, detail: impl Into<String>) -> Arc<Outcome> {
    Arc::new(Outcome::Problem(Problem::new(kind, run, detail)))
}

/// Converts a refusal of the desk into an outcome.
pub fn refusal_outcome(refused: Refused) -> Arc<Outcome> {
    Arc::new(Outcome::Problem(refusal_problem(refused)))
}

/// Converts a refusal of the desk into a problem. The desk decides whether the job may have run.
pub fn refusal_problem(refused: Refused) -> Problem {
    let kind = match refused {
        Refused::Foreign => Kind::ForeignTicket,
        Refused::Closed => Kind::Draining,
        Refused::Parted => Kind::HomeGone,
        Refused::TooOld => Kind::KeyTooOld,
        Refused::Ahead => Kind::KeyAhead,
        Refused::ClockStepped | Refused::Full => Kind::NotReady,
        Refused::NeverCame => Kind::UnknownKey,
    };
    let problem = Problem::new(kind, refused.run(), refused.to_string());
    match refused {
        Refused::Closed | Refused::Full => problem.retry_after_ms(0),
        _ => problem,
    }
}

/// Returns the outcome of an entry that already exists, waiting for it if the job still runs.
pub async fn resolve(entry: Entry<Handle, Arc<Outcome>>) -> Arc<Outcome> {
    match entry {
        Entry::Join(handle) => wait(handle).await,
        Entry::Known(outcome) => outcome,
        Entry::Spent => answer_dropped(),
        Entry::Barred => {
            problem(Kind::Cancelled, Run::NotRun, "the job was cancelled before it came")
        }
        Entry::Conflict => problem(
            Kind::KeyConflict,
            Run::MayHaveRun,
            "the key was used with another body, which may have run; this one did not",
        ),
        Entry::Begin | Entry::TooLate | Entry::Full => refusal_outcome(Refused::Parted),
    }
}

/// Outcome of a job whose answer is no longer stored.
pub fn answer_dropped() -> Arc<Outcome> {
    problem(Kind::AnswerDropped, Run::MayHaveRun, "the answer is no longer kept")
}

/// Waits for the outcome of a job.
pub async fn wait(mut handle: Handle) -> Arc<Outcome> {
    let outcome = match handle.outcome.wait_for(Option::is_some).await {
        Ok(outcome) => outcome.clone(),
        Err(_) => None,
    };
    outcome.unwrap_or_else(|| {
        problem(Kind::TaskFailed, Run::MayHaveRun, "the job ended without an outcome")
    })
}
