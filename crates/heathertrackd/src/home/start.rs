//! Starts a job that the registry has accepted.

use crate::job;
use crate::state::State;
use heathertrack::lists::{Allowance, CustomerEntry};
use heathertrack::name::Customer;
use heathertrack::record::Key;
use heathertrack::run::ExecutionStatus;
use heathertrack_wire::caller::{Job, Outcome, Problem, ProblemKind};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Spawns a job, so that it continues when its caller disconnects. The outcome is sent to `sender`
/// after it is stored.
pub fn start(
    state: &Arc<State>,
    customer: &Customer,
    key: &Key,
    job: Job,
    cancel: CancellationToken,
    sender: watch::Sender<Option<Arc<Outcome>>>,
) {
    let state = state.clone();
    let customer = customer.clone();
    let key = key.clone();
    let tracker = state.tasks.clone();
    tracker.spawn(async move {
        let outcome = Arc::new(run(&state, &customer, &key, job, cancel).await);
        store_outcome(&state, &key, &outcome);
        let _ = sender.send(Some(outcome));
    });
}

/// Time after which a refused key may be submitted again.
const REFUSAL_TTL: Duration = Duration::from_secs(1);

/// Stores the outcome. If nothing was started, the key may be submitted again after
/// [`REFUSAL_TTL`], unless the job was cancelled: a cancellation is final.
fn store_outcome(state: &State, key: &Key, outcome: &Arc<Outcome>) {
    let mut submissions = state.submissions();
    match &**outcome {
        Outcome::Problem(problem)
            if !problem.may_have_run && problem.kind != ProblemKind::Cancelled =>
        {
            submissions.refuse(key, outcome.clone(), state.now() + REFUSAL_TTL);
        }
        _ => submissions.finish(key, outcome.clone(), outcome.memory_bytes()),
    }
}

async fn run(
    state: &Arc<State>,
    customer: &Customer,
    key: &Key,
    job: Job,
    cancel: CancellationToken,
) -> Outcome {
    let Some((listed, allowance)) = plan_and_allowance(state, customer) else {
        let detail = "the customer is on no plan that has an allowance";
        return Outcome::Problem(Problem::new(
            ProblemKind::OverPlan,
            ExecutionStatus::NotRun,
            detail,
        ));
    };
    let arrived = state.now();
    let accepted = job::AcceptedJob {
        key: key.text.to_string(),
        customer: customer.clone(),
        listed,
        allowance,
        arrived,
        deadline: arrived + job.deadline,
        job,
        cancel,
    };
    job::run(state, accepted).await
}

fn plan_and_allowance(state: &State, customer: &Customer) -> Option<(CustomerEntry, Allowance)> {
    let plans = state.lists.plans.current()?;
    let allowances = state.lists.allowances.current()?;
    let listed = plans.value.customers.get(customer)?;
    let allowance = allowances.value.plans.get(&listed.plan)?;
    Some((listed.clone(), allowance.clone()))
}
