//! Metrics of the daemon. docs/OPERATIONS.md lists every name with its unit.

mod labels;

use heathertrack::name::{Class, Customer, Upstream};
use heathertrack_wire::caller::{Outcome, Problem};
use labels::LabelLimiter;
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use std::sync::{LazyLock, OnceLock};
use std::time::Duration;

// Each limits the distinct values of one label; further ones are reported as `other`.
static CUSTOMERS: LazyLock<LabelLimiter> = LazyLock::new(LabelLimiter::default);
static CLASSES: LazyLock<LabelLimiter> = LazyLock::new(LabelLimiter::default);
static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Upper bounds of the buckets of time histograms, in seconds.
const TIME_BUCKETS_S: [f64; 13] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];
/// Upper bounds of the buckets for the ratio of the response time to the ideal.
const RATIO_BUCKETS: [f64; 12] = [1.0, 1.05, 1.15, 1.3, 1.5, 2.0, 2.5, 3.2, 3.7, 5.0, 10.0, 100.0];

/// Installs the recorder; further calls in the same process do nothing. A failure is not
/// reported; [`render`] then returns an empty text.
pub fn install() {
    RECORDER.get_or_init(|| {
        let seconds = Matcher::Suffix("_seconds".to_owned());
        let ratio = Matcher::Suffix("_ratio".to_owned());
        let builder =
            PrometheusBuilder::new().set_buckets_for_metric(seconds, &TIME_BUCKETS_S).ok()?;
        let builder = builder.set_buckets_for_metric(ratio, &RATIO_BUCKETS).ok()?;
        builder.install_recorder().ok()
    });
}

/// Returns all metrics in the Prometheus text format; empty if no recorder is installed.
pub fn render() -> String {
    let recorder = RECORDER.get().and_then(Option::as_ref);
    recorder.map(PrometheusHandle::render).unwrap_or_default()
}

/// Bounds the recorder's memory. Has to be called regularly.
pub fn upkeep() {
    if let Some(recorder) = RECORDER.get().and_then(Option::as_ref) {
        recorder.run_upkeep();
    }
}

/// Counts a message to another entry host or to an upstream.
pub fn message(kind: &'static str) {
    counter!("heathertrack_messages_total", "kind" => kind).increment(1);
}

/// Counts a message that contributed to no answer.
pub fn wasted(kind: &'static str) {
    counter!("heathertrack_wasted_messages_total", "kind" => kind).increment(1);
}

/// Counts a call to the platform. `what` names its purpose, for example `hosts`.
pub fn platform_call(what: &'static str) {
    counter!("heathertrack_platform_calls_total", "what" => what).increment(1);
}

/// Counts a failed call to the platform.
pub fn platform_fault(what: &'static str) {
    counter!("heathertrack_platform_faults_total", "what" => what).increment(1);
}

/// Counts the ejection of an upstream.
pub fn ejected(upstream: &Upstream) {
    counter!("heathertrack_ejections_total", "upstream" => upstream.to_string()).increment(1);
}

/// Records how long a task was queued.
pub fn queue_wait(customer: &Customer, class: &Class, wait: Duration) {
    let customer = CUSTOMERS.bound(customer.as_str());
    let class = CLASSES.bound(class.as_str());
    histogram!("heathertrack_queue_wait_seconds", "customer" => customer, "class" => class)
        .record(wait.as_secs_f64());
}

/// Counts a finished job. If its answer is complete, also records the response time `elapsed` and
/// its ratio to the ideal response time, which is the expected run time of the longest task.
pub fn response(
    customer: &Customer,
    class: &Class,
    elapsed: Duration,
    ideal: Duration,
    outcome: &Outcome,
) {
    let customer = CUSTOMERS.bound(customer.as_str());
    let class = CLASSES.bound(class.as_str());
    let labels = [("customer", customer), ("class", class)];
    if matches!(outcome, Outcome::Complete(_)) {
        // The bound avoids a division by zero.
        let ratio = elapsed.as_secs_f64() / ideal.as_secs_f64().max(1e-6);
        histogram!("heathertrack_response_seconds", &labels).record(elapsed.as_secs_f64());
        histogram!("heathertrack_response_ratio", &labels).record(ratio);
    }
    counter!("heathertrack_jobs_total", &labels).increment(1);
}

/// Counts a problem sent to a caller, by its kind and by whether the job may have run.
pub fn problem(problem: &Problem) {
    let run = if problem.may_have_run { "may_have_run" } else { "not_run" };
    let reason = problem.kind.name();
    counter!("heathertrack_problems_total", "reason" => reason, "run" => run).increment(1);
}

/// Counts connections that were closed as their listener's limits were reached.
pub fn connections_closed(listener: &'static str, cause: &'static str, count: u64) {
    let labels = [("listener", listener), ("cause", cause)];
    counter!("heathertrack_connections_closed_total", &labels).increment(count);
}

/// Sets the gauges of a listener: its open connections, and the bytes that are charged to them.
pub fn set_intake(listener: &'static str, connections: usize, bytes: usize) {
    gauge!("heathertrack_connections", "listener" => listener).set(connections as f64);
    gauge!("heathertrack_intake_bytes", "listener" => listener).set(bytes as f64);
}

/// Sets a gauge without labels.
pub fn set_gauge(name: &'static str, value: f64) {
    gauge!(name).set(value);
}

/// Sets three gauges of a customer on this host: its share and its tasks in flight, both in
/// concurrent tasks, and the tasks that wait for a permit.
pub fn set_share(customer: &Customer, share: f64, in_flight: f64, waiting: f64) {
    let customer = CUSTOMERS.bound(customer.as_str());
    gauge!("heathertrack_share_tasks", "customer" => customer.clone()).set(share);
    gauge!("heathertrack_tasks_out", "customer" => customer.clone()).set(in_flight);
    gauge!("heathertrack_permits_waiting", "customer" => customer).set(waiting);
}
