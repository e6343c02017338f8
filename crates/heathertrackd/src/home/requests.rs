//! Submits, polls, cancels and probes jobs whose records are kept here.

use super::outcome::{answer_dropped, problem, refusal_outcome, resolve, wait};
use super::{Handle, clocks, key_origin, start};
use crate::state::State;
use heathertrack::home::Refusal;
use heathertrack::name::Customer;
use heathertrack::record::{Admission, CancelResult, Digest, Key as RecordKey};
use heathertrack::run::ExecutionStatus;
use heathertrack_wire::caller::{Job, Key, Outcome, Problem, ProblemKind};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

fn record_key(customer: &Customer, key: &Key) -> RecordKey {
    RecordKey::new(customer.as_str(), key.to_string())
}

fn parse_job(body: &str) -> Result<Job, Problem> {
    Job::parse(body).map_err(|findings| {
        let invalid =
            Problem::new(ProblemKind::BadRequest, ExecutionStatus::NotRun, "the job has findings");
        invalid.findings(&findings)
    })
}

/// Parses a submitted job and returns the time within which it must be answered.
pub fn parse_deadline(body: &str) -> Result<Duration, Problem> {
    parse_job(body).map(|job| job.deadline)
}

/// Starts a job under its key, joins the job that runs under it, or returns its stored outcome.
pub async fn submit(
    state: &Arc<State>,
    customer: &Customer,
    key: &Key,
    body: &str,
) -> Arc<Outcome> {
    let job = match parse_job(body) {
        Ok(job) => job,
        Err(invalid) => return Arc::new(Outcome::Problem(invalid)),
    };
    let record_key = record_key(customer, key);
    let (sender, outcome) = watch::channel(None);
    let handle = Handle { outcome, cancel: CancellationToken::new() };
    let digest = Digest::of(body.as_bytes());
    // The key's origin and the clocks decide whether a new key is accepted.
    let admission = state.submissions().submit(
        &record_key,
        &key_origin(key),
        digest,
        clocks(state),
        handle.clone(),
    );
    match admission {
        Ok(Admission::Started) => {
            start::start(state, customer, &record_key, job, handle.cancel.clone(), sender);
            wait(handle).await
        }
        Ok(admission) => resolve(admission).await,
        Err(refusal) => refusal_outcome(refusal),
    }
}

/// Starts a job that was submitted without a key and therefore can't be resubmitted.
pub async fn submit_unkeyed(state: &Arc<State>, customer: &Customer, body: &str) -> Arc<Outcome> {
    let job = match parse_job(body) {
        Ok(job) => job,
        Err(invalid) => return Arc::new(Outcome::Problem(invalid)),
    };
    if state.submissions().stage() != heathertrack::home::Stage::Open {
        return refusal_outcome(Refusal::Closed);
    }
    let (sender, outcome) = watch::channel(None);
    let handle = Handle { outcome, cancel: CancellationToken::new() };
    let key = RecordKey::new(customer.as_str(), Uuid::now_v7().to_string());
    start::start(state, customer, &key, job, handle.cancel.clone(), sender);
    wait(handle).await
}

/// Waits at most `max_wait` for the outcome of a job that was submitted before.
pub async fn poll(
    state: &State,
    customer: &Customer,
    key: &Key,
    max_wait: Duration,
) -> Arc<Outcome> {
    let admission =
        state.submissions().lookup(&record_key(customer, key), &key_origin(key), clocks(state));
    let admission = match admission {
        Ok(admission) => admission,
        Err(refusal) => return refusal_outcome(refusal),
    };
    let resolved = tokio::time::timeout(max_wait, resolve(admission)).await;
    resolved.unwrap_or_else(|_| {
        // Only the wait of this poll has ended: the job goes on, and a later poll may get its
        // outcome.
        problem(
            ProblemKind::DeadlinePassed,
            ExecutionStatus::MayHaveRun,
            "the job is still running",
        )
    })
}

/// Cancels a job. A job that has not arrived yet will not be started.
pub async fn cancel(state: &State, customer: &Customer, key: &Key) -> Arc<Outcome> {
    let cancelled =
        state.submissions().cancel(&record_key(customer, key), &key_origin(key), clocks(state));
    match cancelled {
        Ok(CancelResult::Running(handle)) => {
            handle.cancel.cancel();
            wait(handle).await
        }
        Ok(CancelResult::Finished(outcome)) => outcome,
        // The job has finished, and its answer was dropped to free memory.
        Ok(CancelResult::AnswerDropped) => answer_dropped(),
        Ok(CancelResult::CancelledEarly) => {
            problem(ProblemKind::Cancelled, ExecutionStatus::NotRun, "the job will not be started")
        }
        // Only `Full` occurs here, as the registry returns `Expired` as a refusal. The customer may
        // hold no further record, so the cancellation is not remembered.
        Ok(CancelResult::Full | CancelResult::Expired) => problem(
            ProblemKind::NotReady,
            ExecutionStatus::MayHaveRun,
            "too many jobs are recorded to cancel",
        ),
        Err(refusal) => refusal_outcome(refusal),
    }
}

/// Returns whether a job under this key may have run, whichever customer submitted it. So this also
/// serves the refusal of a caller whose token is unknown, and its customer with it.
pub fn probe(state: &State, key: &Key) -> ExecutionStatus {
    state.submissions().probe(&key.to_string(), &key_origin(key), clocks(state))
}
