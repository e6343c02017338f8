//! Parses the requests of callers and routes them to their handlers.

use super::reply::{self, Reply};
use super::{auth, body};
use crate::home;
use crate::route::{self, KeyRequest};
use crate::state::State;
use crate::unread_body;
use heathertrack::name::Customer;
use heathertrack::run::ExecutionStatus;
use heathertrack_wire::caller::{Key, Outcome, Problem, ProblemKind, Ticket};
use heathertrack_wire::frame::Action;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::{Method, Request};
use std::sync::Arc;
use std::time::Duration;

const KEY_HEADER: &str = "idempotency-key";
const JOBS_PATH: &str = "/v1/jobs";
const TICKETS_PATH: &str = "/v1/tickets";
/// Longest wait for the answer to a request about a job that was submitted before.
const JOB_REQUEST_WAIT: Duration = Duration::from_secs(60);
/// Delay after which a caller may retry on a host that has no lists yet, in milliseconds.
const NOT_READY_RETRY_MS: u64 = 1_000;
/// Added to a job's deadline to get the time within which its home must report the outcome.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Answers one request.
pub async fn answer(state: &Arc<State>, request: Request<Incoming>) -> Reply {
    let (head, mut body) = request.into_parts();
    let routed = route_request(state, &head, &mut body).await;
    let mut reply = routed.unwrap_or_else(|problem| reply::problem(&problem));
    unread_body::finish(&head, &mut body, &mut reply).await;
    reply
}

async fn route_request(
    state: &Arc<State>,
    head: &Parts,
    body: &mut Incoming,
) -> Result<Reply, Problem> {
    let path = head.uri.path();
    let method = head.method.clone();
    if path == "/healthz" {
        return Ok(health(state));
    }
    if path == JOBS_PATH {
        return match method {
            Method::POST => submit(state, &head.headers, body).await,
            _ => Err(wrong_method("POST")),
        };
    }
    if path == TICKETS_PATH {
        return match method {
            Method::POST => issue_ticket(state, &head.headers),
            _ => Err(wrong_method("POST")),
        };
    }
    if let Some(key) = path.strip_prefix(JOBS_PATH).and_then(|rest| rest.strip_prefix('/')) {
        let action = match method {
            Method::GET => Action::Wait,
            Method::DELETE => Action::Cancel,
            _ => return Err(wrong_method("GET or DELETE")),
        };
        return handle_job_request(state, &head.headers, key, action).await;
    }
    Err(Problem::new(
        ProblemKind::NotFound,
        ExecutionStatus::NotRun,
        format!("there is nothing at {path}"),
    ))
}

fn wrong_method(right: &str) -> Problem {
    Problem::new(
        ProblemKind::MethodNotAllowed,
        ExecutionStatus::NotRun,
        format!("this path takes {right}"),
    )
}

fn health(state: &State) -> Reply {
    if state.is_ready() {
        reply::text(200, "ready\n".to_owned())
    } else {
        reply::text(503, "not ready\n".to_owned())
    }
}

fn issue_ticket(state: &State, headers: &HeaderMap) -> Result<Reply, Problem> {
    let customer = auth::customer(state, headers)
        .map_err(|auth_error| auth_problem(auth_error, ExecutionStatus::NotRun))?;
    // During the notice phase, tickets are still issued.
    if !state.is_ready() && state.phase() != crate::state::Phase::Notice {
        return Err(Problem::new(
            ProblemKind::Draining,
            ExecutionStatus::NotRun,
            "this host is stopping",
        ));
    }
    let valid = state.settings.limits.ticket_valid;
    let issued = state.submissions().issue(&customer, state.now(), valid);
    let ticket = issued.map_err(home::refusal_problem)?;
    let valid_ms = u64::try_from(valid.as_millis()).unwrap_or(u64::MAX);
    Ok(reply::json(&Ticket { ticket: ticket.to_string(), valid_ms }))
}

async fn submit(
    state: &Arc<State>,
    headers: &HeaderMap,
    body: &mut Incoming,
) -> Result<Reply, Problem> {
    let key = idempotency_key(headers)?;
    let customer = authenticate(state, headers, key.as_ref()).await?;
    let body = body::read(body).await?;
    let outcome = match key {
        None => home::submit_unkeyed(state, &customer, &body).await,
        Some(key) => {
            let time_left = home::parse_deadline(&body)? + ANSWER_MARGIN;
            let action = Action::Submit(body);
            let request = KeyRequest { customer: &customer, key: &key, action, time_left };
            route::run(state, &request).await
        }
    };
    Ok(reply::outcome(&outcome))
}

async fn handle_job_request(
    state: &Arc<State>,
    headers: &HeaderMap,
    key: &str,
    action: Action,
) -> Result<Reply, Problem> {
    let key = parse_key(key)?;
    let customer = authenticate(state, headers, Some(&key)).await?;
    let request =
        KeyRequest { customer: &customer, key: &key, action, time_left: JOB_REQUEST_WAIT };
    let outcome = route::run(state, &request).await;
    Ok(reply::outcome(&outcome))
}

/// Returns the customer of a request, or a refusal that says whether a job under its key may have
/// run.
async fn authenticate(
    state: &Arc<State>,
    headers: &HeaderMap,
    key: Option<&Key>,
) -> Result<Customer, Problem> {
    let auth_error = match auth::customer(state, headers) {
        Ok(customer) => return Ok(customer),
        Err(auth_error) => auth_error,
    };
    let run = match key {
        Some(key) => probe(state, key).await,
        None => ExecutionStatus::NotRun,
    };
    Err(auth_problem(auth_error, run))
}

/// Returns whether a job may have run under a key whose customer is not known here, for example
/// after its token was replaced.
async fn probe(state: &Arc<State>, key: &Key) -> ExecutionStatus {
    let nobody = Customer::new("");
    let request =
        KeyRequest { customer: &nobody, key, action: Action::Probe, time_left: JOB_REQUEST_WAIT };
    match &*route::run(state, &request).await {
        Outcome::Problem(problem) if !problem.may_have_run => ExecutionStatus::NotRun,
        _ => ExecutionStatus::MayHaveRun,
    }
}

fn auth_problem(auth_error: auth::AuthError, run: ExecutionStatus) -> Problem {
    match auth_error {
        auth::AuthError::NoToken => {
            Problem::new(ProblemKind::Unauthorized, run, "the request carries no bearer token")
        }
        auth::AuthError::UnknownToken => {
            Problem::new(ProblemKind::Unauthorized, run, "no customer has this token")
        }
        auth::AuthError::NotReady => {
            Problem::new(ProblemKind::NotReady, run, "this host has no lists yet")
                .retry_after_ms(NOT_READY_RETRY_MS)
        }
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Key>, Problem> {
    let mut values = headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_key("the key stands twice".to_owned()));
    }
    match value.to_str() {
        Ok(text) => parse_key(text).map(Some),
        Err(_) => Err(bad_key("the key holds odd bytes".to_owned())),
    }
}

fn parse_key(text: &str) -> Result<Key, Problem> {
    text.parse().map_err(|error: heathertrack_wire::caller::KeyError| bad_key(error.to_string()))
}

fn bad_key(detail: String) -> Problem {
    Problem::new(ProblemKind::BadRequest, ExecutionStatus::NotRun, detail)
}
