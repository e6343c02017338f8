//! Finds the home of a key and has it handle requests, on this host or on a peer.

mod proof;

use crate::claims::Owner;
use crate::home;
use crate::metrics;
use crate::peers::CallResult;
use crate::state::{Phase, State};
use heathertrack::home::Refusal;
use heathertrack::name::Customer;
use heathertrack::run::ExecutionStatus;
use heathertrack::ticket::Home;
use heathertrack_wire::caller::{Key, Outcome, Problem, ProblemKind};
use heathertrack_wire::frame::{Action, Submission};
use std::sync::Arc;
use std::time::Duration;
use uuid::Uuid;

/// Delay after which a caller may retry when the store or a home can't be reached, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// A caller's request to the home of a key.
#[derive(Debug)]
pub struct KeyRequest<'a> {
    pub customer: &'a Customer,
    pub key: &'a Key,
    pub action: Action,
    /// Time for which the caller waits.
    pub time_left: Duration,
}

/// Handles a request at the home of its key.
pub async fn run(state: &Arc<State>, request: &KeyRequest<'_>) -> Arc<Outcome> {
    let home = match find_home(state, request).await {
        Ok(home) => home,
        Err(problem) => return Arc::new(Outcome::Problem(problem)),
    };
    if holds_records_of(state, &home) {
        run_local(state, request).await
    } else {
        forward(state, &home, request).await
    }
}

fn holds_records_of(state: &State, home: &Home) -> bool {
    state.submissions().holds_records_of(home)
}

/// Handles a request for a key whose record is kept here.
pub async fn run_local(state: &Arc<State>, request: &KeyRequest<'_>) -> Arc<Outcome> {
    let KeyRequest { customer, key, action, time_left } = request;
    match action {
        Action::Submit(body) => home::submit(state, customer, key, body).await,
        Action::Wait => home::poll(state, customer, key, *time_left).await,
        Action::Cancel => home::cancel(state, customer, key).await,
        Action::Probe => {
            let run = home::probe(state, key);
            // The process that sent the probe reads only whether the job may have run.
            Arc::new(Outcome::Problem(Problem::new(ProblemKind::UnknownKey, run, "")))
        }
    }
}

/// Forwards a request to the peer that keeps the record of its key.
pub async fn forward(state: &Arc<State>, home: &Home, request: &KeyRequest<'_>) -> Arc<Outcome> {
    let submission = Submission {
        home: home.into(),
        customer: request.customer.to_string(),
        key: request.key.to_string(),
        action: request.action.clone(),
        remaining_ms: u64::try_from(request.time_left.as_millis()).unwrap_or(u64::MAX),
    };
    metrics::message("forward");
    match state.peers.submit(state, &home.host, submission, request.time_left).await {
        CallResult::Answer(Some(outcome)) => Arc::new(outcome),
        CallResult::Answer(None) => home_gone("the process that kept this key's record is gone"),
        // Even if this request was not sent, an earlier submission of the key may have reached the
        // home.
        CallResult::Lost | CallResult::Unsent => {
            let detail = format!("{}, which keeps this key's record, cannot be reached", home.host);
            let problem =
                Problem::new(ProblemKind::HomeUnreachable, ExecutionStatus::MayHaveRun, detail);
            Arc::new(Outcome::Problem(problem.retry_after_ms(RETRY_AFTER_MS)))
        }
    }
}

fn home_gone(detail: &str) -> Arc<Outcome> {
    Arc::new(Outcome::Problem(Problem::new(
        ProblemKind::HomeGone,
        ExecutionStatus::MayHaveRun,
        detail,
    )))
}

/// Returns the process that keeps the record of a key now.
async fn find_home(state: &Arc<State>, request: &KeyRequest<'_>) -> Result<Home, Problem> {
    let home = match request.key {
        Key::Ticket(ticket, _) => ticket.home.clone(),
        Key::Minted(uuid) => find_home_of_minted(state, request, uuid).await?,
    };
    Ok(state.successions().current(&home))
}

async fn find_home_of_minted(
    state: &Arc<State>,
    request: &KeyRequest<'_>,
    uuid: &Uuid,
) -> Result<Home, Problem> {
    let record_key =
        heathertrack::record::Key::new(request.customer.as_str(), request.key.to_string());
    if state.submissions().contains(&record_key) {
        return Ok(state.home.clone());
    }
    // A cancellation needs a home too, which then refuses a later submission of the key.
    let needs_home = matches!(request.action, Action::Submit(_) | Action::Cancel);
    let may_claim = needs_home && state.phase() < Phase::Draining;
    if may_claim {
        // A key that its home would refuse because of its age must not be claimed.
        check_age(state, uuid).map_err(home::refusal_problem)?;
    }
    let owner = match (&request.action, may_claim) {
        (_, true) => state.claims.claim(state, request.customer, uuid).await,
        (Action::Probe, _) => state.claims.look_up_any(state, uuid).await,
        _ => state.claims.look_up(state, request.customer, uuid).await,
    };
    match owner {
        Owner::Home(home) => Ok(home),
        Owner::Nobody if needs_home => Err(Problem::new(
            ProblemKind::Draining,
            ExecutionStatus::NotRun,
            "this host is stopping",
        )),
        Owner::Nobody => Err(unclaimed(state, uuid)),
        Owner::Unknown(reason) => Err(store_unavailable(state, request, uuid, &reason).await),
    }
}

fn check_age(state: &State, uuid: &Uuid) -> Result<Duration, Refusal> {
    state.submissions().check_minted(Key::minted_ms(uuid), home::clocks(state))
}

/// Returns the problem for a key without a claim. Its job did not run if the key's time is
/// acceptable. Otherwise it may have run: the claim of a key that is too old may have been deleted.
fn unclaimed(state: &State, uuid: &Uuid) -> Problem {
    let run =
        check_age(state, uuid).map_or(ExecutionStatus::MayHaveRun, |_| ExecutionStatus::NotRun);
    Problem::new(ProblemKind::UnknownKey, run, "no job came under this key")
}

/// Returns the problem for a key that the store did not confirm. Without the store, only the entry
/// hosts themselves can report whether an earlier submission ran.
async fn store_unavailable(
    state: &Arc<State>,
    request: &KeyRequest<'_>,
    uuid: &Uuid,
    reason: &str,
) -> Problem {
    let run = if proof::proves_unstarted(state, request.key, uuid).await {
        ExecutionStatus::NotRun
    } else {
        ExecutionStatus::MayHaveRun
    };
    let detail = format!("the store did not confirm the key {}: {reason}", request.key);
    Problem::new(ProblemKind::StoreUnavailable, run, detail).retry_after_ms(RETRY_AFTER_MS)
}
