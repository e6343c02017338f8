//! HTTP server for callers' requests.

use super::cancel::Cancelling;
use super::event_log::ms;
use super::metrics;
use super::node::{EntryHost, Environment};
use super::transport::{Transport, serve_all};
use crate::intake::{self, Guard, body};
use crate::linger;
use crate::unread_body;
use bytes::Bytes;
use heathertrack::clock::Time;
use heathertrack::intake::job_bytes;
use heathertrack::name::Host;
use heathertrack::pool::job::{Id, Outcome, Request, critical_path};
use heathertrack::pool::search::Verdict;
use heathertrack::routes::{Limits, Route, RouteTable};
use heathertrack_platform::{CallerProtocol, JobRequest, Submission};
use hyper::body::Incoming;
use hyper::header::{self, CONNECTION, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Time that a caller is assumed to wait if neither its request nor its route says how long.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// Factor by which the tasks of a job may take longer than declared: estimates are off by 40%, and
/// some upstreams are slow.
const ESTIMATE_FACTOR: u32 = 3;
/// Retry-after time of a job that would outlast this host. The balancer sends the next attempt of
/// the caller to another host.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry-after time of a cancelling that some hosts did not answer: within it their links are back
/// or their records are gone.
const CANCEL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time that a request waits for the first configuration. A host listens before it has read the
/// store, which takes a few milliseconds if the store answers.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(100);
/// Retry-after time while no configuration is in force, and of a request without a route while the
/// configuration is outdated.
const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Why a request is refused for which there is no room beside others.
const NO_ROOM: &str = "too many large requests are in progress; this one was not run";
/// Smallest buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Starts to accept connections of callers.
pub fn spawn<E: Environment>(
    entry: &Rc<EntryHost<E>>,
    listener: <E::Transport as Transport>::Listener,
) {
    let accepting = entry.clone();
    let serve = move |stream, guard| serve(accepting.clone(), stream, guard);
    serve_all(entry.environment.transport(), listener, &entry.intakes.callers, serve);
}

async fn serve<E: Environment>(
    entry: Rc<EntryHost<E>>,
    stream: <E::Transport as Transport>::Stream,
    guard: Guard,
) {
    let limits = entry.limits();
    let lingering = linger::Switch::default();
    let stream = linger::Stream::new(stream, lingering.clone());
    let stream = intake::Stream::new(stream, guard.clone());
    let service = service_fn(|request| async {
        guard.begin_request().await;
        let response = entry.clone().answer(request, &guard).await;
        guard.end_request();
        lingering.observe(&response);
        Ok::<_, Infallible>(response)
    });
    // A broken connection needs no answer. Its request future is dropped, which cancels its jobs.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Counts one caller in `waiting_callers` until it is dropped.
struct WaitingCaller<E: Environment>(Rc<EntryHost<E>>);

impl<E: Environment> WaitingCaller<E> {
    fn new(entry: &Rc<EntryHost<E>>) -> Self {
        entry.state.borrow_mut().waiting_callers += 1;
        WaitingCaller(entry.clone())
    }
}

impl<E: Environment> Drop for WaitingCaller<E> {
    fn drop(&mut self) {
        self.0.state.borrow_mut().waiting_callers -= 1;
    }
}

impl<E: Environment> EntryHost<E> {
    /// Returns the limits of the configuration in force, or the defaults without one.
    fn limits(&self) -> Limits {
        let state = self.state.borrow();
        state.table.as_ref().map(|table| table.limits.clone()).unwrap_or_default()
    }

    /// Answers a request. While this host is leaving, the answer also closes the connection.
    async fn answer(
        self: Rc<Self>,
        request: hyper::Request<Incoming>,
        guard: &Guard,
    ) -> Response<String> {
        let waiting = WaitingCaller::new(&self);
        let received = self.now();
        let (head, mut body) = request.into_parts();
        let mut response = self.handle_request(&head, &mut body, guard, received).await;
        unread_body::finish(&head, &mut body, &mut response).await;
        drop(waiting);
        if self.state.borrow().leaving {
            response = closing(response);
        }
        response
    }

    /// Finds the route of a request, and handles the request.
    async fn handle_request(
        self: &Rc<Self>,
        head: &Parts,
        body: &mut Incoming,
        guard: &Guard,
        received: Time,
    ) -> Response<String> {
        let Some(table) = self.wait_for_configuration().await else {
            return self.refuse_for_now(head, "no configuration yet", 0, CONFIGURATION_RETRY_AFTER);
        };
        let is_current = self.has_current_configuration().await;
        // A newer configuration may have arrived meanwhile.
        let table = self.state.borrow().table.clone().unwrap_or(table);
        let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
        let version = table.version;
        if !is_current && self.is_starved() {
            let why = "the configuration is outdated";
            return self.refuse_for_now(head, why, version, CONFIGURATION_RETRY_AFTER);
        }
        let Some(route) = table.find(host, head.uri.path()) else {
            if is_current {
                return self.refuse(head, StatusCode::NOT_FOUND, "no route", version);
            }
            // A newer configuration may have the route.
            let why = "no route in an outdated configuration";
            return self.refuse_for_now(head, why, version, CONFIGURATION_RETRY_AFTER);
        };
        match self.environment.caller_protocol().parse_request(head, &route.prefix) {
            Err(status) => self.refuse(head, status, "not a request of this route", version),
            Ok(JobRequest::Submit(id)) => {
                self.submit(head, (body, guard), &table, route, id, received).await
            }
            // The answer to a submission carries the outcome of the job, so there is no later state
            // to query.
            Ok(JobRequest::Query(_)) => self.refuse(head, StatusCode::GONE, "no such job", version),
            Ok(JobRequest::Cancel(id)) => self.cancel(head, &id, version, received).await,
            Ok(JobRequest::CountQueued) => {
                self.environment.caller_protocol().queue_response(self.queued_jobs(&route.service))
            }
        }
    }

    /// Returns the configuration in force. Without one, waits for it for [`CONFIGURATION_WAIT`], but
    /// not while the store fails.
    async fn wait_for_configuration(self: &Rc<Self>) -> Option<Rc<RouteTable>> {
        let arrived = self.configuration_arrived.notified();
        {
            let state = self.state.borrow();
            if state.table.is_some() || state.last_store_failure.is_some() {
                return state.table.clone();
            }
        }
        // The table is looked up whether the configuration came or the time is over.
        let _ = timeout(CONFIGURATION_WAIT, arrived).await;
        self.state.borrow().table.clone()
    }

    /// Counts, logs and answers a request that runs no job. `version` is that of the configuration
    /// in force, or 0 without one.
    fn refuse(
        &self,
        head: &Parts,
        status: StatusCode,
        why: &str,
        version: u64,
    ) -> Response<String> {
        metrics::request_refused(status.as_u16());
        let age = self.configuration_age();
        self.event_log.request_refused(head.uri.path(), status.as_u16(), why, version, age);
        self.environment.caller_protocol().error_response(status, why)
    }

    /// Refuses a request that may succeed after some seconds.
    fn refuse_for_now(
        &self,
        head: &Parts,
        why: &str,
        version: u64,
        retry_after: Duration,
    ) -> Response<String> {
        let mut response = self.refuse(head, StatusCode::SERVICE_UNAVAILABLE, why, version);
        response.headers_mut().insert(header::RETRY_AFTER, retry_after.as_secs().into());
        response
    }

    /// Returns the number of queued jobs: those of the service on this host, and those of all
    /// services on its peers, as heartbeats carry no number for each service.
    fn queued_jobs(&self, service: &str) -> usize {
        let state = self.state.borrow();
        let on_peers: u32 = state.peers.values().map(|peer| peer.load.queued_jobs).sum();
        state.pool.queued_jobs(service) + on_peers as usize
    }

    /// Cancels a job, wherever it is.
    async fn cancel(
        self: &Rc<Self>,
        head: &Parts,
        id: &Id,
        version: u64,
        received: Time,
    ) -> Response<String> {
        let protocol = self.environment.caller_protocol();
        let caller_timeout = protocol.caller_timeout(head).unwrap_or(DEFAULT_CALLER_TIMEOUT);
        let result = self.cancel_job(id, caller_timeout).await;
        let (answer, undecided): (_, &[Host]) = match &result {
            Cancelling::Decided(Verdict::Cancelled) => ("cancelled", &[]),
            Cancelling::Decided(Verdict::Absent) => ("no such job", &[]),
            Cancelling::Undecided(hosts) => {
                ("some hosts that may run the job did not answer", hosts)
            }
            Cancelling::Refused(why) => (*why, &[]),
        };
        let age = self.now().since(received);
        self.event_log.cancel_answered(id, answer, undecided, age, version);
        match result {
            Cancelling::Decided(Verdict::Cancelled) => {
                protocol.outcome_response(&Outcome::Cancelled)
            }
            Cancelling::Decided(Verdict::Absent) => {
                self.refuse(head, StatusCode::GONE, answer, version)
            }
            Cancelling::Undecided(_) | Cancelling::Refused(_) => {
                self.refuse_for_now(head, answer, version, CANCEL_RETRY_AFTER)
            }
        }
    }

    /// Reads and checks a submission, runs its job, and returns the answer.
    async fn submit(
        self: &Rc<Self>,
        head: &Parts,
        (body, guard): (&mut Incoming, &Guard),
        table: &RouteTable,
        route: &Route,
        id: Id,
        received: Time,
    ) -> Response<String> {
        let version = table.version;
        let body = match self.read_body(head, body, table, guard).await {
            Ok(body) => body,
            Err(refusal) => return *refusal,
        };
        let submission = match self.environment.caller_protocol().parse_submission(&body) {
            Ok(submission) => submission,
            Err(findings) => {
                let why = findings.join("; ");
                return self.refuse(head, StatusCode::BAD_REQUEST, &why, version);
            }
        };
        // A feature that the job or its route asks for.
        let unsupported = submission.unsupported.or(route.needs_advice.then_some("advice"));
        if let Some(what) = unsupported {
            let why = format!("{what} are not offered; the job was not run");
            return self.refuse(head, StatusCode::SERVICE_UNAVAILABLE, &why, version);
        }
        drop(body);
        if !guard.begin_work(job_bytes(&submission.spec, &submission.steps)) {
            return self.refuse_for_now(head, NO_ROOM, version, RETRY_AFTER);
        }
        let caller_timeout = self.environment.caller_protocol().caller_timeout(head);
        let job = build_request(id, submission, route, caller_timeout, received);
        if !self.has_time_for(&job) {
            let why = "this host stops before the job could be done";
            let outcome = Outcome::NotRun { retry_after: RETRY_AFTER, why };
            let age = self.configuration_age();
            self.event_log.request_refused(job.id.as_str(), 503, why, version, age);
            return self.environment.caller_protocol().outcome_response(&outcome);
        }
        self.run(job, version).await
    }

    /// Reads the body of a submission. The error is the answer to it.
    async fn read_body(
        &self,
        head: &Parts,
        body: &mut Incoming,
        table: &RouteTable,
        guard: &Guard,
    ) -> Result<Bytes, Box<Response<String>>> {
        let limits = &table.limits;
        let read = timeout(limits.idle_timeout, body::read(body, limits.body_bytes, guard)).await;
        let refuse = |status, why| Err(Box::new(self.refuse(head, status, why, table.version)));
        match read {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(body::Error::TooLarge)) => {
                refuse(StatusCode::PAYLOAD_TOO_LARGE, "body too large")
            }
            Ok(Err(body::Error::Broken)) => refuse(StatusCode::BAD_REQUEST, "body not read"),
            Ok(Err(body::Error::NoRoom)) => {
                let refusal = self.refuse_for_now(head, NO_ROOM, table.version, RETRY_AFTER);
                Err(Box::new(refusal))
            }
            Err(_) => refuse(StatusCode::REQUEST_TIMEOUT, "body too slow"),
        }
    }

    /// Returns whether a planned stop leaves enough time for a job, even if its tasks take
    /// [`ESTIMATE_FACTOR`] times as long as declared.
    fn has_time_for(&self, job: &Request) -> bool {
        let Some(stops_by) = self.state.borrow().stops_by else { return true };
        let needed = critical_path(&job.steps) * ESTIMATE_FACTOR;
        job.received + needed <= stops_by
    }

    /// Runs a job until its deadline, then counts and logs its outcome.
    async fn run(self: &Rc<Self>, job: Request, version: u64) -> Response<String> {
        let id = job.id.clone();
        let (received, objective, deadline) = (job.received, job.objective, job.deadline);
        let class = job.class.clone();
        let remaining = deadline.since(self.now());
        let (dispatcher, outcome) = match timeout(remaining, self.run_job(job)).await {
            Ok(ended) => ended,
            Err(_) => (None, Outcome::MayHaveRun("the caller's time is over")),
        };
        let age = self.now().since(received);
        let event = match &outcome {
            Outcome::Completed if age <= objective => "job_completed",
            Outcome::Completed => "job_late",
            Outcome::Failed => "job_failed",
            Outcome::NotRun { .. } => "job_not_run",
            Outcome::MayHaveRun(_) => "job_unfinished",
            Outcome::Cancelled => "job_cancelled",
        };
        metrics::job_answered(&class, self.record.data_centre.as_str(), event, age);
        // The deferred lines of a job that completed in time are discarded.
        self.event_log.end_job(&id, event != "job_completed");
        self.event_log.job_ended(
            event,
            json!({
                "id": id.as_str(), "class": &*class, "age_ms": ms(age),
                "objective_ms": ms(objective), "version": version,
                "dispatcher": dispatcher.as_ref().map(Host::as_str), "why": reason(&outcome),
            }),
        );
        self.environment.caller_protocol().outcome_response(&outcome)
    }
}

/// Announces that the connection is closed after this response.
fn closing(mut response: Response<String>) -> Response<String> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Returns why a job has no result, or `None` if it completed or failed.
fn reason(outcome: &Outcome) -> Option<&'static str> {
    match outcome {
        Outcome::NotRun { why, .. } | Outcome::MayHaveRun(why) => Some(why),
        Outcome::Completed | Outcome::Failed | Outcome::Cancelled => None,
    }
}

/// Builds the request for a dispatcher from a submission and its route.
fn build_request(
    id: Id,
    submission: Submission,
    route: &Route,
    caller_timeout: Option<Duration>,
    received: Time,
) -> Request {
    let objective =
        critical_path(&submission.steps).mul_f64(route.objective_factor) + route.objective_offset;
    let caller_timeout = caller_timeout.or(route.timeout).unwrap_or(DEFAULT_CALLER_TIMEOUT);
    Request {
        id,
        spec: submission.spec,
        class: route.name.clone(),
        service: route.service.clone(),
        priority: route.priority,
        max_attempts: route.max_attempts,
        steps: submission.steps,
        received,
        objective,
        deadline: received + caller_timeout,
    }
}
