//! Log of events on standard output: JSON lines, rate-limited for each event name and written by a
//! separate thread.
//!
//! Some events and fields have other terms than the code: a look is a poll, rivals are competing
//! dispatchers, waiting jobs are queued, places are free slots, and lines left out are suppressed.

use super::deferred_lines::{DeferredLines, EventTime, Line};
use super::metrics;
use crate::log::Limiter;
use heathertrack::name::{DataCentre, Host, Upstream};
use heathertrack::pool::job::Id;
use heathertrack::pool::{Decision, Evidence, FailedRun, Load, LostRun, Roster, StartAnswer, Task};
use heathertrack_platform::{CallError, HostSettings, StartOrder};
use serde_json::{Value, json};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, Record, StringBuf, ThreadPool};
use std::cell::RefCell;
use std::fmt::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum number of lines written per second for each event name. The next line with that name
/// reports how many were suppressed.
const MAX_LINES_PER_SECOND: u32 = 200;
/// Maximum length of a text in a line, in bytes. Longer ones, such as a part of an unreadable item in
/// an error message, are cut.
const MAX_TEXT_BYTES: usize = 512;
/// Maximum number of runs that a line names for one upstream.
const MAX_LISTED_RUNS: usize = 8;
/// Maximum number of rosters that a line lists.
const MAX_LISTED_ROSTERS: usize = 16;
/// Number of lines that can be queued for the writing thread. Further lines are dropped, because
/// the event loop must not block on the log.
const QUEUE_LINES: usize = 2_048;

/// Event log of an entry host.
pub struct EventLog {
    logger: Arc<Logger>,
    limiter: Limiter,
    opened: Instant,
    host: String,
    data_centre: String,
    /// Lines that are kept until the outcomes of their jobs are known.
    deferred: RefCell<DeferredLines>,
}

impl fmt::Debug for EventLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The debug output keeps this earlier name of the type.
        f.debug_struct("Journal").field("host", &self.host).finish_non_exhaustive()
    }
}

/// Formatter that writes the payload of a record unchanged.
#[derive(Clone)]
struct PayloadFormatter;

impl Formatter for PayloadFormatter {
    fn format(
        &self,
        record: &Record,
        dest: &mut StringBuf,
        _: &mut FormatterContext,
    ) -> spdlog::Result<()> {
        writeln!(dest, "{}", record.payload()).map_err(spdlog::Error::FormatRecord)
    }
}

impl EventLog {
    /// Opens the log on standard output.
    pub fn open(host: &Host, data_centre: &DataCentre) -> Result<Self, spdlog::Error> {
        let sink: Arc<dyn Sink> = Arc::new(
            StdStreamSink::builder()
                .formatter(PayloadFormatter)
                .std_stream(StdStream::Stdout)
                .build()?,
        );
        let writer_threads = ThreadPool::builder()
            .capacity(QUEUE_LINES.try_into().unwrap_or(std::num::NonZeroUsize::MIN))
            .build()?;
        let queue = AsyncPoolSink::builder()
            .sink(sink)
            .thread_pool(Arc::new(writer_threads))
            .overflow_policy(OverflowPolicy::DropIncoming)
            .build()?;
        Self::with_sink(host, data_centre, Arc::new(queue))
    }

    /// Returns a log that writes to a sink.
    pub fn with_sink(
        host: &Host,
        data_centre: &DataCentre,
        sink: Arc<dyn Sink>,
    ) -> Result<Self, spdlog::Error> {
        let logger = Logger::builder()
            .sink(sink)
            .level_filter(LevelFilter::All)
            .flush_level_filter(LevelFilter::All)
            .build()?;
        Ok(EventLog {
            logger: Arc::new(logger),
            limiter: Limiter::new(MAX_LINES_PER_SECOND),
            opened: Instant::now(),
            host: host.to_string(),
            data_centre: data_centre.to_string(),
            deferred: RefCell::default(),
        })
    }

    /// Writes a line, unless the rate limit of its event is reached.
    pub fn write(&self, event: &'static str, fields: Value) {
        self.write_at(event, self.now(), fields);
    }

    fn now(&self) -> EventTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        EventTime { unix_ms: whole_ms(since_epoch), up_ms: whole_ms(self.opened.elapsed()) }
    }

    fn write_at(&self, event: &'static str, time: EventTime, mut fields: Value) {
        let Some(suppressed) = self.limiter.allow(event) else { return };
        if let Some(fields) = fields.as_object_mut() {
            fields.values_mut().for_each(cut_text);
            fields.insert("event".to_owned(), event.into());
            fields.insert("time_ms".to_owned(), time.unix_ms.into());
            fields.insert("up_ms".to_owned(), time.up_ms.into());
            fields.insert("host".to_owned(), self.host.clone().into());
            fields.insert("data_centre".to_owned(), self.data_centre.clone().into());
            if suppressed > 0 {
                metrics::lines_suppressed(event, suppressed);
                fields.insert("left_out".to_owned(), suppressed.into());
            }
        }
        spdlog::log!(logger: self.logger, Level::Info, "{fields}");
    }

    /// Keeps a line until the outcome of its job is known.
    fn write_later(&self, job: &Id, event: &'static str, fields: Value) {
        let line = Line { event, time: self.now(), fields };
        self.deferred.borrow_mut().add(job, line);
    }

    /// Ends the lines kept for a job: writes them if `write` is set, and discards them otherwise.
    pub fn end_job(&self, job: &Id, write: bool) {
        let lines = self.deferred.borrow_mut().take(job);
        for line in lines.into_iter().filter(|_| write) {
            self.write_at(line.event, line.time, line.fields);
        }
    }

    /// Logs the choice of a dispatcher. `load` is the load that it last reported, `handed_cores`
    /// the cores of the jobs handed to it since, and `live_peers` the number of live peers.
    pub fn job_routed(
        &self,
        job: &Id,
        dispatcher: &Host,
        load: &Load,
        handed_cores: f64,
        live_peers: usize,
    ) {
        let fields = json!({
            "id": job.as_str(), "dispatcher": dispatcher.as_str(), "cores": load.cores,
            "busy_cores": load.busy_cores, "waiting_core_seconds": load.queued_core_seconds,
            "handed_cores": handed_cores, "live_peers": live_peers,
        });
        self.write_later(job, "job_routed", fields);
    }

    /// Logs that the process accepts connections.
    pub fn started(&self, settings: &HostSettings) {
        let fields = json!({
            "callers": settings.callers_address.to_string(), "peers": settings.peers_address.to_string(),
            "store": settings.store_address.to_string(), "cpu_share": settings.cpu_share,
            "version": env!("CARGO_PKG_VERSION"), "commit": env!("HEATHERTRACK_COMMIT"),
            "sources": env!("HEATHERTRACK_SOURCES"), "process": std::process::id(),
        });
        self.write("started", fields);
    }

    /// Logs that the settings were read again.
    pub fn reloaded(&self, seeds: &[SocketAddr], needs_restart: bool) {
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        self.write("reloaded", json!({ "seeds": seeds, "needs_restart": needs_restart }));
    }

    /// Logs that the settings could not be read again.
    pub fn reload_failed(&self, why: &str) {
        self.write("reload_failed", json!({ "why": why }));
    }

    /// Logs the start of a planned stop.
    pub fn stopping(&self) {
        self.write("stopping", json!({}));
    }

    /// Logs the end of the process.
    pub fn stopped(&self, after: Duration) {
        self.write("stopped", json!({ "after_ms": ms(after) }));
    }

    /// Logs that the process was suspended.
    pub fn resumed(&self, gap: Duration) {
        self.write("resumed", json!({ "gap_ms": ms(gap) }));
    }

    /// Logs that a link to a peer is up.
    pub fn peer_found(&self, peer: &Host) {
        self.write("peer_found", json!({ "peer": peer.as_str() }));
    }

    /// Logs the end of a link to a peer. `jobs_from` is the number of the peer's jobs on this host,
    /// and `jobs_to` that of this host's jobs on the peer.
    pub fn peer_lost(&self, peer: &Host, why: &str, jobs_from: usize, jobs_to: usize) {
        let fields = json!({
            "peer": peer.as_str(), "why": why, "jobs_from": jobs_from, "jobs_to": jobs_to,
        });
        self.write("peer_lost", fields);
    }

    /// Logs the rosters of this host's runs that were sent to a peer. `is_changed` means that the peer holds
    /// former ones.
    pub fn rosters_sent(&self, peer: &Host, link: u64, rosters: &[&Roster], is_changed: bool) {
        let fields = json!({
            "peer": peer.as_str(), "link": link, "rosters": rosters.len(), "changed": is_changed,
            "first": roster_rows(rosters),
        });
        self.write("rosters_sent", fields);
    }

    /// Logs the rosters that a peer has sent.
    pub fn rosters_received(&self, peer: &Host, link: u64, rosters: &[&Roster]) {
        let fields = json!({
            "peer": peer.as_str(), "link": link, "rosters": rosters.len(),
            "first": roster_rows(rosters),
        });
        self.write("rosters_received", fields);
    }

    /// Logs a message that wasn't sent: the queue of a peer is full, which ends the link, or closed.
    pub fn link_full(&self, peer: &Host) {
        self.write("link_full", json!({ "peer": peer.as_str() }));
    }

    /// Logs that the store answers again, or has stopped answering.
    pub fn store_changed(&self, answers: bool, why: &str, revision: u64) {
        let event = if answers { "store_regained" } else { "store_lost" };
        self.write(event, json!({ "why": why, "revision": revision }));
    }

    /// Logs that the record of this host could not be announced to the store or renewed there, as
    /// `step` says; the step is retried.
    pub fn host_record_failed(&self, step: &'static str, why: &str) {
        self.write("host_record_failed", json!({ "step": step, "why": why }));
    }

    /// Logs that a configuration came into force. `before` is the version that it replaced, and
    /// `revision` the revision at which it was written.
    pub fn configuration_in_force(&self, version: u64, before: u64, revision: u64) {
        let fields = json!({ "version": version, "before": before, "revision": revision });
        self.write("configuration_in_force", fields);
    }

    /// Logs that the operators have evacuated a data centre, by a request of revision `request`, or have
    /// taken it back. `known` is the newest revision of the operators that this host knows, `max_age`
    /// the longest time since the change, and `held_back` the number of upstreams on which this host
    /// starts nothing from now on.
    pub fn evacuation_changed(
        &self,
        data_centre: &DataCentre,
        request: Option<u64>,
        known: u64,
        max_age: Option<Duration>,
        is_known: bool,
        held_back: usize,
    ) {
        let fields = json!({
            "evacuated": data_centre.as_str(), "in_force": request.is_some(), "request": request,
            "revision": known, "max_age_ms": max_age.map(ms), "known": is_known,
            "upstreams_held_back": held_back,
        });
        self.write("evacuation_changed", fields);
    }

    /// Logs an item of the store that cannot be decoded.
    pub fn item_unreadable(&self, key: &str, why: &str, revision: u64) {
        self.write("item_unreadable", json!({ "key": key, "why": why, "revision": revision }));
    }

    /// Logs that a competing dispatcher may now exist, or no longer can.
    pub fn competitors_changed(&self, has_competitors: bool, hosts: usize, peers: usize) {
        let fields = json!({ "possible": has_competitors, "hosts": hosts, "live_peers": peers });
        self.write("rivals_changed", fields);
    }

    /// Logs a change of the dispatchers: this host now owns `owned` of the `upstreams` known
    /// upstreams, and `hosts` live hosts are candidates for dispatching.
    pub fn owners_changed(&self, owned: usize, upstreams: usize, hosts: usize) {
        let fields = json!({ "owned": owned, "upstreams": upstreams, "live_hosts": hosts });
        self.write("owners_changed", fields);
    }

    /// Logs a start order that the upstream refused or did not answer.
    pub fn start_refused(&self, order: &StartOrder, upstream: &Upstream, answer: StartAnswer) {
        let fields = json!({
            "id": order.task.job.as_str(), "task": order.task.to_string(), "run": order.number,
            "upstream": upstream.as_str(), "answer": format!("{answer:?}"),
        });
        self.write("start_refused", fields);
    }

    /// Logs a failed poll of an upstream.
    pub fn poll_failed(&self, upstream: &Upstream, error: &CallError) {
        let fields = json!({ "upstream": upstream.as_str(), "why": error.to_string() });
        self.write("look_failed", fields);
    }

    /// Logs a request that was answered without running a job. `configuration_age` is the time since
    /// the store last confirmed the configuration.
    pub fn request_refused(
        &self,
        id: &str,
        status: u16,
        why: &str,
        version: u64,
        configuration_age: Option<Duration>,
    ) {
        let fields = json!({
            "id": id, "status": status, "why": why, "version": version,
            "configuration_age_ms": configuration_age.map(ms),
        });
        self.write("request_refused", fields);
    }

    /// Logs that a request has found the configuration outdated: the store last confirmed it `age`
    /// ago, and last failed `failure_age` ago.
    pub fn configuration_outdated(
        &self,
        version: u64,
        age: Option<Duration>,
        failure_age: Option<Duration>,
        live_peers: usize,
    ) {
        let fields = json!({
            "version": version, "age_ms": age.map(ms), "store_failure_age_ms": failure_age.map(ms),
            "live_peers": live_peers,
        });
        self.write("configuration_outdated", fields);
    }

    /// Logs the answer to a caller who cancels a job. `undecided` are the hosts that may run the job
    /// and gave no clear answer.
    pub fn cancel_answered(
        &self,
        id: &Id,
        answer: &str,
        undecided: &[Host],
        age: Duration,
        version: u64,
    ) {
        let undecided: Vec<&str> = undecided.iter().map(Host::as_str).collect();
        let fields = json!({ "id": id.as_str(), "answer": answer, "undecided": undecided,
            "age_ms": ms(age), "version": version });
        self.write("cancel_answered", fields);
    }

    /// Logs the answer to a job; the name of the event tells its outcome.
    pub fn job_ended(&self, event: &'static str, fields: Value) {
        self.write(event, fields);
    }

    /// Logs a decision of the dispatcher, or keeps it until the outcome of its job is known.
    pub fn decision(&self, decision: &Decision) {
        match decision {
            Decision::Submitted { job, load, ahead } => self.write_later(
                job,
                "job_taken",
                json!({ "id": job.as_str(), "cores": load.cores, "busy_cores": load.busy_cores,
                    "places": load.free_slots, "waiting_jobs": load.queued_jobs,
                    "core_seconds_ahead": ahead }),
            ),
            Decision::Placed {
                task,
                number,
                upstream,
                expected,
                apart_from,
                speed,
                answer_age,
                age,
            } => {
                let mut fields = json!({
                    "id": task.job.as_str(), "task": task.to_string(), "run": number,
                    "upstream": upstream.as_str(), "expected_ms": ms(*expected), "speed": speed,
                    "heard_ms": ms(*answer_age), "age_ms": ms(*age) });
                if let Some(class) = apart_from {
                    fields["kept_apart_from"] = (&**class).into();
                }
                self.write_later(&task.job, "task_started", fields);
            }
            Decision::Refused { job, why, waited, expected } => self.write(
                "job_refused",
                json!({ "id": job.as_str(), "why": why, "waited_ms": ms(*waited),
                    "expected_wait_ms": ms(*expected) }),
            ),
            Decision::Shortage { excess, offered, drain, queued } => self.write(
                "shortage_changed",
                json!({ "turned_away_share": excess, "offered_cores": offered,
                    "started_cores": drain, "waiting_core_seconds": queued }),
            ),
            Decision::GivenUp { job, why, age } => self.write(
                "job_given_up",
                json!({ "id": job.as_str(), "why": why, "age_ms": ms(*age) }),
            ),
            Decision::TaskFailed { task, runs } => {
                let rows: Vec<Value> = runs.iter().map(failed_run_row).collect();
                self.write(
                    "task_failed",
                    json!({ "id": task.job.as_str(), "task": task.to_string(),
                        "failures": runs.len(), "runs": rows }),
                );
            }
            Decision::RunEnded { task, number, upstream, how, has_begun, age } => self.write(
                "run_ended",
                json!({ "id": task.job.as_str(), "task": task.to_string(), "run": number,
                    "upstream": upstream.as_str(), "how": how, "begun": has_begun,
                    "age_ms": ms(*age) }),
            ),
            Decision::TaskQuarantined { task, crashes, evidence } => {
                let rows: Vec<Value> = evidence.iter().map(evidence_row).collect();
                self.write(
                    "task_quarantined",
                    json!({ "id": task.job.as_str(), "task": task.to_string(), "crashes": crashes,
                        "losses": evidence.len(), "evidence": rows }),
                );
            }
            Decision::LossTakenBack { loss } => {
                let tasks: Vec<String> = loss.tasks.iter().map(Task::to_string).collect();
                self.write(
                    "loss_taken_back",
                    json!({ "upstream": loss.upstream.as_str(), "started_ms": loss.started_ms,
                        "tasks": tasks }),
                );
            }
            Decision::RunsLost { loss, runs, stopped_with_it, age } => {
                let tasks: Vec<String> = loss.tasks.iter().map(Task::to_string).collect();
                let begun = runs.iter().filter(|run| run.seen_age.is_some());
                let begun: Vec<String> = begun.map(|run| run.task.to_string()).collect();
                let rows: Vec<Value> = runs.iter().map(lost_run_row).collect();
                self.write(
                    "runs_lost",
                    json!({ "upstream": loss.upstream.as_str(), "started_ms": loss.started_ms,
                        "cause": loss.cause.name(), "tasks": tasks, "begun": begun,
                        "runs": rows, "stopped_with_it": stopped_with_it, "age_ms": ms(*age) }),
                );
            }
            Decision::Renewal { upstream, basis, own, rosters, strays } => {
                let rosters: Vec<Value> =
                    rosters.iter().map(|(host, runs)| json!([host.as_str(), runs])).collect();
                let rows: Vec<String> = strays.iter().take(MAX_LISTED_RUNS).map(run_name).collect();
                self.write(
                    "renewal_changed",
                    json!({ "upstream": upstream.as_str(), "renews": basis.name(), "own": own,
                        "rosters": rosters, "strays": strays.len(), "first_strays": rows }),
                );
            }
            Decision::LeftToExpiry { task, number, upstream, why, competitor_may_renew } => self
                .write(
                    "run_left_to_expiry",
                    json!({ "id": task.job.as_str(), "task": task.to_string(), "run": number,
                        "upstream": upstream.as_str(), "why": why,
                        "others_may_renew": competitor_may_renew }),
                ),
            Decision::Neighbours(pair) => self.write(
                "neighbours_judged",
                json!({ "slowed": &*pair.slowed, "by": &*pair.by, "kept_apart": pair.is_believed,
                    "factor": pair.factor, "error": pair.error,
                    "evidence_age_ms": ms(pair.evidence_age) }),
            ),
            Decision::RostersDropped { host } => {
                self.write("rosters_dropped", json!({ "peer": host.as_str() }));
            }
            Decision::Upstream { upstream, state, age } => self.write(
                "upstream_changed",
                json!({ "upstream": upstream.as_str(), "state": state, "age_ms": ms(*age) }),
            ),
        }
    }
}

/// Returns the name of a run: its task and its number.
fn run_name((task, number): &(Task, u32)) -> String {
    format!("{task}#{number}")
}

/// Returns the rows of the first rosters: the upstream, the number of runs and the first of them.
fn roster_rows(rosters: &[&Roster]) -> Vec<Value> {
    let row = |roster: &&Roster| {
        let runs: Vec<String> = roster.runs.iter().take(MAX_LISTED_RUNS).map(run_name).collect();
        json!([roster.upstream.as_str(), roster.runs.len(), runs])
    };
    rosters.iter().take(MAX_LISTED_ROSTERS).map(row).collect()
}

/// Returns the row of a run in `runs_lost`: its task, its number, the process that it was ordered from,
/// and the time since it was last reported as running.
fn lost_run_row(run: &LostRun) -> Value {
    json!([run.task.to_string(), run.number, run.started_ms, run.seen_age.map(ms)])
}

/// Returns the row of a run in `task_failed`: its upstream, the process there, its number, and the time
/// from its order to the list with its end.
fn failed_run_row(run: &FailedRun) -> Value {
    json!([run.upstream.as_str(), run.started_ms, run.number, ms(run.age)])
}

/// Returns the row of a loss in `task_quarantined`: the upstream, its process, what its loss says, the
/// time since then, and whether another dispatcher reported it.
fn evidence_row(evidence: &Evidence) -> Value {
    let Evidence { upstream, started_ms, blame, age, is_reported } = evidence;
    json!([upstream.as_str(), started_ms, blame, ms(*age), is_reported])
}

/// Cuts a text that is longer than [`MAX_TEXT_BYTES`], and marks it with an ellipsis.
fn cut_text(field: &mut Value) {
    if let Value::String(text) = field
        && text.len() > MAX_TEXT_BYTES
    {
        text.truncate(text.floor_char_boundary(MAX_TEXT_BYTES));
        text.push('…');
    }
}

/// Returns a duration in milliseconds, rounded to one decimal.
pub fn ms(span: Duration) -> f64 {
    (span.as_secs_f64() * 10_000.0).round() / 10.0
}

/// Returns a duration in whole milliseconds.
fn whole_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
