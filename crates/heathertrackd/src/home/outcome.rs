//! Outcomes for callers whose key does not start a new job.

use super::Handle;
use heathertrack::home::Refusal;
use heathertrack::record::Admission;
use heathertrack::run::ExecutionStatus;
use heathertrack_wire::caller::{Outcome, Problem, ProblemKind};
use std::sync::Arc;

/// Builds an outcome from a problem.
pub fn problem(kind: ProblemKind, run: ExecutionStatus, detail: impl Into<String>) -> Arc<Outcome> {
    Arc::new(Outcome::Problem(Problem::new(kind, run, detail)))
}

/// Converts a refusal of the registry into an outcome.
pub fn refusal_outcome(refusal: Refusal) -> Arc<Outcome> {
    Arc::new(Outcome::Problem(refusal_problem(refusal)))
}

/// Converts a refusal of the registry into a problem. The registry decides whether the job may have
/// run.
pub fn refusal_problem(refusal: Refusal) -> Problem {
    let kind = match refusal {
        Refusal::ForeignTicket => ProblemKind::ForeignTicket,
        Refusal::Closed => ProblemKind::Draining,
        Refusal::HandedOver => ProblemKind::HomeGone,
        Refusal::KeyTooOld => ProblemKind::KeyTooOld,
        Refusal::KeyAhead => ProblemKind::KeyAhead,
        Refusal::ClockStepped | Refusal::Full => ProblemKind::NotReady,
        Refusal::UnknownKey => ProblemKind::UnknownKey,
    };
    let problem = Problem::new(kind, refusal.execution_status(), refusal.to_string());
    match refusal {
        Refusal::Closed | Refusal::Full => problem.retry_after_ms(0),
        _ => problem,
    }
}

/// Returns the outcome for a submission or poll that starts no job. Waits if the job still runs.
pub async fn resolve(entry: Admission<Handle, Arc<Outcome>>) -> Arc<Outcome> {
    match entry {
        Admission::Running(handle) => wait(handle).await,
        Admission::Finished(outcome) => outcome,
        Admission::AnswerDropped => answer_dropped(),
        Admission::CancelledEarly => problem(
            ProblemKind::Cancelled,
            ExecutionStatus::NotRun,
            "the job was cancelled before it came",
        ),
        Admission::Conflict => problem(
            ProblemKind::KeyConflict,
            ExecutionStatus::MayHaveRun,
            "the key was used with another body, which may have run; this one did not",
        ),
        // Not expected here: `submit` handles the first, and the registry returns the others as
        // refusals.
        Admission::Started | Admission::Expired | Admission::Full => {
            refusal_outcome(Refusal::HandedOver)
        }
    }
}

/// Outcome of a job whose answer is no longer stored.
pub fn answer_dropped() -> Arc<Outcome> {
    problem(ProblemKind::AnswerDropped, ExecutionStatus::MayHaveRun, "the answer is no longer kept")
}

/// Waits for the outcome of a job.
pub async fn wait(mut handle: Handle) -> Arc<Outcome> {
    let outcome = match handle.outcome.wait_for(Option::is_some).await {
        Ok(outcome) => outcome.clone(),
        Err(_) => None,
    };
    outcome.unwrap_or_else(|| {
        problem(
            ProblemKind::TaskFailed,
            ExecutionStatus::MayHaveRun,
            "the job ended without an outcome",
        )
    })
}
