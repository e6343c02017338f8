//! Metrics of an entry host, and the endpoint that exposes them. docs/OPERATIONS.md lists every
//! name. Some names and label values have other terms than the code: a look is a poll, waiting jobs
//! are queued, and lines left out are suppressed.

use super::boot_clock::Clock;
use super::node::{EntryHost, Environment};
use super::transport::{TcpTransport, serve_all};
use crate::intake::{self, Guard, small_requests};
use crate::metrics as recorder;
use heathertrack::pool::{LossCause, RunEnd, StartAnswer};
use hyper::Response;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics::{counter, gauge, histogram};
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Records the answer to a job.
pub fn job_answered(class: &str, data_centre: &str, outcome: &'static str, age: Duration) {
    let labels = [("class", class.to_owned()), ("data_centre", data_centre.to_owned())];
    histogram!("heathertrack_answer_seconds", &labels).record(age.as_secs_f64());
    let class = class.to_owned();
    counter!("heathertrack_answers_total", "class" => class, "outcome" => outcome).increment(1);
}

/// Counts a request that was answered without running a job.
pub fn request_refused(status: u16) {
    let status = status.to_string();
    counter!("heathertrack_requests_refused_total", "status" => status).increment(1);
}

/// Counts a job that a dispatcher refused or gave up.
pub fn job_dropped(why: &'static str) {
    counter!("heathertrack_jobs_dropped_total", "reason" => why).increment(1);
}

/// Counts an answer of an upstream to a start order.
pub fn start_answered(answer: StartAnswer) {
    let answer = match answer {
        StartAnswer::Running => "running",
        StartAnswer::NoRoom => "no_room",
        StartAnswer::OldNumber => "old_number",
        StartAnswer::TooLate => "too_late",
        StartAnswer::Unwell => "unwell",
        StartAnswer::Replaced => "replaced",
        StartAnswer::Unsent => "unsent",
        StartAnswer::Unknown => "no_answer",
    };
    counter!("heathertrack_starts_total", "answer" => answer).increment(1);
}

/// Counts a poll of an upstream.
pub fn upstream_polled(answered: bool) {
    let outcome = if answered { "answered" } else { "failed" };
    counter!("heathertrack_looks_total", "outcome" => outcome).increment(1);
}

/// Counts a call to the store.
pub fn store_called(answered: bool) {
    let outcome = if answered { "answered" } else { "failed" };
    counter!("heathertrack_store_calls_total", "outcome" => outcome).increment(1);
}

/// Counts an assignment of all upstreams to dispatchers.
pub fn upstreams_assigned() {
    counter!("heathertrack_assignments_total").increment(1);
}

/// Counts log lines that were suppressed.
pub fn lines_suppressed(event: &'static str, count: u64) {
    counter!("heathertrack_log_lines_left_out_total", "event" => event).increment(count);
}

/// Serves the metrics on one connection.
async fn serve<E: Environment>(entry: Rc<EntryHost<E>>, stream: TcpStream, guard: Guard) {
    let service = service_fn(|_| async {
        guard.begin_request().await;
        entry.set_gauges();
        let response = Response::new(recorder::render());
        guard.end_request();
        Ok::<_, Infallible>(response)
    });
    let stream = intake::Stream::new(stream, guard.clone());
    // A failed scrape needs no handling: the next one opens a new connection.
    let _ = small_requests().serve_connection(TokioIo::new(stream), service).await;
}

impl<E: Environment> EntryHost<E> {
    /// Serves the metrics as text on an address. The path of a request is ignored.
    pub async fn serve_metrics(self: &Rc<Self>, address: SocketAddr) -> io::Result<()> {
        recorder::install();
        let listener = TcpListener::bind(address).await?;
        let entry = self.clone();
        // Metrics are served over TCP regardless of the transport of the other connections.
        let intake = &self.intakes.metrics;
        serve_all(&TcpTransport, listener, intake, move |stream, guard| {
            serve(entry.clone(), stream, guard)
        });
        Ok(())
    }

    fn set_gauges(&self) {
        self.set_intake_gauges();
        let now = self.environment.clock().now();
        let state = self.state.borrow();
        let load = state.pool.load(now);
        gauge!("heathertrack_cores").set(load.cores);
        gauge!("heathertrack_busy_cores").set(load.busy_cores);
        gauge!("heathertrack_slow_upstreams").set(state.pool.slow_upstreams(now) as f64);
        gauge!("heathertrack_waiting_core_seconds").set(load.queued_core_seconds);
        gauge!("heathertrack_waiting_jobs").set(f64::from(load.queued_jobs));
        gauge!("heathertrack_turned_away_share").set(state.pool.turned_away_share());
        gauge!("heathertrack_callers_waiting").set(state.waiting_callers as f64);
        gauge!("heathertrack_live_peers").set(state.peers.len() as f64);
        let known = state.hosts.values().map(|host| &host.data_centre);
        for data_centre in known.chain(state.evacuated.keys()).collect::<BTreeSet<_>>() {
            let is_evacuated = state.evacuated.contains_key(data_centre);
            let labels = [("data_centre", data_centre.to_string())];
            gauge!("heathertrack_evacuated", &labels).set(f64::from(u8::from(is_evacuated)));
        }
        gauge!("heathertrack_evacuated_data_centres").set(state.evacuated.len() as f64);
        gauge!("heathertrack_evacuated_upstreams").set(state.pool.evacuated_upstreams() as f64);
        gauge!("heathertrack_operator_revision").set(state.operator_revision as f64);
        gauge!("heathertrack_configuration_version").set(state.version() as f64);
        gauge!("heathertrack_store_revision").set(state.mirror.revision() as f64);
        // Infinite until the first read succeeds.
        let store_age =
            state.last_store_read.map_or(f64::INFINITY, |read| now.since(read).as_secs_f64());
        gauge!("heathertrack_store_age_seconds").set(store_age);
        let configuration_age =
            state.confirmation.age(now).map_or(f64::INFINITY, |age| age.as_secs_f64());
        gauge!("heathertrack_configuration_age_seconds").set(configuration_age);
        let margin = state.pool.min_remaining_lease(now);
        gauge!("heathertrack_least_lease_seconds").set(margin.as_secs_f64());
        for end in
            [RunEnd::Done, RunEnd::Failed, RunEnd::Stopped, RunEnd::Expired, RunEnd::Disappeared]
        {
            let count = state.pool.ended_runs(end);
            counter!("heathertrack_runs_ended_total", "end" => end.name()).absolute(count);
        }
        let pairs = state.pool.neighbour_pairs(now).filter(|pair| pair.is_believed).count();
        gauge!("heathertrack_slowing_pairs").set(pairs as f64);
        counter!("heathertrack_tasks_kept_apart_total").absolute(state.pool.kept_apart());
        let quarantined = state.pool.quarantined_tasks(now);
        gauge!("heathertrack_quarantined_tasks").set(quarantined as f64);
        for cause in LossCause::ALL {
            let count = state.pool.lost_runs(cause);
            counter!("heathertrack_runs_lost_total", "cause" => cause.name()).absolute(count);
        }
    }
}
