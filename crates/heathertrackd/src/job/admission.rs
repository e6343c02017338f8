//! Admission control: decides whether to accept a job before any of its tasks is sent.

use super::AcceptedJob;
use super::expected::Expected;
use crate::state::State;
use heathertrack::dispatch::Refusal;
use heathertrack::run::ExecutionStatus;
use heathertrack_wire::caller::{Problem, ProblemKind};
use std::time::Duration;

/// Delay after which a caller whose deadline was too short may retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Decides whether to accept a job. None of its tasks was sent, so every refusal is `not_run`.
pub(super) fn admit(
    state: &State,
    accepted: &AcceptedJob,
    expected: &Expected,
) -> Result<(), Problem> {
    check_plan(accepted)?;
    check_allowance(state, accepted)?;
    let now = state.now();
    let load = state.dispatcher.load(now);
    let time_left = accepted.deadline.since(now);
    let admitted = state.placement.admit(load, &expected.demands, time_left);
    admitted.map_err(|refusal| {
        let kind = match refusal {
            Refusal::DeadlineTooShort { .. } => ProblemKind::DeadlineTooShort,
            Refusal::FitsNowhere { .. } => ProblemKind::FitsNowhere,
        };
        let problem = Problem::new(kind, ExecutionStatus::NotRun, refusal.to_string());
        match kind {
            ProblemKind::DeadlineTooShort => problem.retry_after_ms(RETRY_AFTER_MS),
            _ => problem,
        }
    })
}

fn check_plan(accepted: &AcceptedJob) -> Result<(), Problem> {
    let AcceptedJob { job, allowance, .. } = accepted;
    let plan = &accepted.listed.plan;
    let over =
        |detail: String| Err(Problem::new(ProblemKind::OverPlan, ExecutionStatus::NotRun, detail));
    if job.tasks.len() > allowance.tasks_per_job {
        let most = allowance.tasks_per_job;
        return over(format!(
            "the plan {plan} allows {most} tasks in a job, not {}",
            job.tasks.len()
        ));
    }
    if job.deadline > allowance.deadline {
        let most = allowance.deadline.as_millis();
        return over(format!("the plan {plan} allows a deadline of {most} ms"));
    }
    let too_large = job.tasks.iter().position(|task| !allowance.task.holds(&task.needs));
    if let Some(index) = too_large {
        return over(format!("task {index} takes more of a worker than the plan {plan} allows"));
    }
    Ok(())
}

/// Refuses a job if even the customer's whole allowance could not start its tasks, and those of the
/// customer queued on this host, within the job's deadline. How the allowance is divided among the
/// hosts does not matter here.
fn check_allowance(state: &State, accepted: &AcceptedJob) -> Result<(), Problem> {
    let allowance = &accepted.allowance;
    let queued = state.gate.queued(&accepted.customer) + accepted.job.tasks.len();
    let beyond_burst = (queued as f64 - allowance.burst).max(0.0);
    let needed = Duration::from_secs_f64(beyond_burst / allowance.starts_per_second);
    if needed <= accepted.job.deadline {
        return Ok(());
    }
    let detail = format!("the allowance of starts is used up for {} ms", needed.as_millis());
    let retry_after_ms = u64::try_from(needed.as_millis()).unwrap_or(u64::MAX);
    Err(Problem::new(ProblemKind::AllowanceUsed, ExecutionStatus::NotRun, detail)
        .retry_after_ms(retry_after_ms))
}
