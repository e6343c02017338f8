//! State and execution of a simulation: hosts, upstreams, store and callers.

mod caller;
mod fault;

use super::audit::{Auditor, MIN_CLOCK_RATE};
use super::clock::VirtualClock;
use super::environment::{EmulatedEnvironment, NoCallerProtocol};
use super::fault::{Fault, FaultKind};
use super::log_sink::LogSink;
use super::network::{HostNetwork, Network, Node};
use super::orders::{Fleet, HostUpstreams, OrderFaults};
use super::overlap::Span;
use super::plan::Plan;
use super::process::Process;
use super::store::{HostStore, StoreState};
use super::upstream::{CompletedRun, EmulatedUpstream, JobProfiles, Slowdown};
use super::verdict::{JobStats, Verdict, Violation};
use heathertrack::intake;
use heathertrack::name::{DataCentre, Host, Upstream};
use heathertrack::pool::job::{Id, Needs, Outcome, Request};
use heathertrack::pool::upstream::Record;
use heathertrack::pool::{RunEnd, Task};
use heathertrack::routes::{Limits, RouteTable};
use heathertrack_platform::{DecodedItem, HostSettings};
use heathertrackd::entry::{Clock, EntryHost, EventLog};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// Time between the start of the hosts and the first callers.
const STARTUP_TIME: Duration = Duration::from_secs(3);
/// Time for jobs and runs to end after the last caller has arrived.
const SETTLE_TIME: Duration = Duration::from_secs(15);
/// Time of day at which the upstreams start, in milliseconds.
const FIRST_START_MS: u64 = 1_800_000_000_000;
/// One-way delay between callers and hosts.
const CALLER_DELAY: Duration = Duration::from_millis(1);
/// Time after its deadline at which an answer counts as missing.
const ANSWER_SLACK: Duration = Duration::from_millis(300);
/// Grace period of a graceful shutdown.
const STOP_GRACE: Duration = Duration::from_secs(6);
/// Time within which a configuration must be in force.
const CONFIGURATION_TIME: Duration = Duration::from_secs(2);
/// Time within which an evacuation must be in force at hosts without faults.
const EVACUATION_TIME: Duration = Duration::from_secs(4);
/// Machine of each host.
const MACHINE: intake::Machine = intake::Machine { memory: 256 << 20, descriptors: 4_096 };
/// Number of starts of a task, after three upstreams were lost under it, that breaks the users' rule
/// BUDGET.
const MAX_STARTS_AFTER_THIRD_LOSS: usize = 3;
/// Number of runs of a task that have to fail before its job may be answered as failed.
const MAX_ATTEMPTS: u32 = 3;
/// Time after a fault of a host in which submissions may get no answer because of it.
const FAULT_AFTEREFFECT: Duration = Duration::from_secs(1);

/// The current process of an entry host, replaced at each start.
struct Machine {
    process: Process,
    /// The entry host, once it has bound its listeners.
    entry: Rc<RefCell<Option<Rc<EntryHost<EmulatedEnvironment>>>>>,
    /// Whether callers are no longer sent to this host.
    stopping: bool,
    /// Time until which missing answers are attributed to a fault.
    disturbed_until: Cell<Instant>,
}

/// State of a simulation.
pub struct World {
    plan: Plan,
    network: Rc<Network>,
    store: Rc<StoreState>,
    fleet: Fleet,
    auditor: Rc<Auditor>,
    job_profiles: JobProfiles,
    order_faults: Rc<OrderFaults>,
    random: Rc<RefCell<StdRng>>,
    machines: RefCell<Vec<Machine>>,
    log: Arc<Mutex<Vec<String>>>,
    /// Results of the jobs, by class.
    stats: RefCell<Vec<JobStats>>,
    /// Age of each correct answer, relative to the objective of its job.
    answer_ages: RefCell<Vec<f64>>,
    /// Jobs of which every submission was refused, so that none of their tasks may run.
    refused: RefCell<BTreeSet<Id>>,
    /// Jobs that were answered as failed, with the time of the submission that got the answer.
    failed: RefCell<BTreeMap<Id, Instant>>,
    violations: RefCell<Vec<Violation>>,
    /// Factor by which the rate of callers is currently multiplied.
    caller_factor: Cell<f64>,
    /// Current share of the callers that disconnect early.
    leaving_share: Cell<f64>,
    /// Current share of the jobs whose first task crashes every upstream that starts it.
    deadly_share: Cell<f64>,
    /// Sends the index of each upstream that has started such a task.
    deadly_starts: UnboundedSender<usize>,
}

/// Runs a simulation in virtual time.
pub fn simulate(plan: &Plan) -> Verdict {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let Ok(runtime) = builder.enable_time().start_paused(true).build() else {
        return Verdict::default();
    };
    LocalSet::new().block_on(&runtime, World::execute(plan.clone()))
}

impl World {
    async fn execute(plan: Plan) -> Verdict {
        let (deadly_starts, deadly_started) = unbounded_channel();
        let world = Rc::new(World::new(plan, deadly_starts));
        spawn_local(world.network.clone().run_detached());
        spawn_local(fault::crash_upstreams(world.clone(), deadly_started));
        world.populate();
        for host in 0..world.plan.site.hosts() {
            world.start_host(host);
            sleep(Duration::from_millis(40)).await;
        }
        sleep(STARTUP_TIME).await;
        world.auditor.origin.set(Instant::now());
        for fault in world.plan.faults.clone() {
            spawn_local(fault::inject(world.clone(), fault));
        }
        let end = Instant::now() + world.plan.length;
        while Instant::now() < end {
            let rate = world.plan.load.per_second() * world.caller_factor.get();
            // Callers arrive as a Poisson process.
            let pause = -world.random.borrow_mut().random_range(1e-9..1.0f64).ln() / rate;
            sleep(Duration::from_secs_f64(pause)).await;
            spawn_local(caller::run(world.clone()));
        }
        sleep(SETTLE_TIME).await;
        world.evaluate()
    }

    fn new(plan: Plan, deadly_starts: UnboundedSender<usize>) -> Self {
        let random = StdRng::seed_from_u64(plan.seed);
        let stats = vec![JobStats::default(); plan.load.classes.len()];
        let leaving_share = plan.load.leaving_share;
        let fleet = Fleet::default();
        let auditor = Auditor::new(&fleet, caller::RESUBMIT_DELAY, plan.options.lease);
        World {
            plan,
            network: Rc::default(),
            store: Rc::default(),
            fleet,
            auditor: Rc::new(auditor),
            job_profiles: JobProfiles::default(),
            order_faults: Rc::default(),
            random: Rc::new(RefCell::new(random)),
            machines: RefCell::default(),
            log: Arc::default(),
            stats: RefCell::new(stats),
            answer_ages: RefCell::default(),
            refused: RefCell::default(),
            failed: RefCell::default(),
            violations: RefCell::default(),
            caller_factor: Cell::new(1.0),
            leaving_share: Cell::new(leaving_share),
            deadly_share: Cell::new(0.0),
            deadly_starts,
        }
    }

    /// Creates the upstreams, and stores their records and the configuration.
    fn populate(&self) {
        let site = &self.plan.site;
        let slowdowns: Rc<[Slowdown]> = self.plan.load.slowdowns.clone().into();
        self.network.near.set(site.near);
        self.network.far.set(site.far);
        for index in 0..site.upstreams() {
            let centre = index / site.upstreams_each;
            self.network.assign_centre(Node::Upstream(index), centre);
            let record = Record {
                name: Upstream::new(format!("u{index}")),
                address: format!("10.0.0.{index}:80"),
                service: Arc::from("service"),
                data_centre: centre_name(centre),
                capacity: Needs {
                    cpu: site.cpu[index % site.cpu.len()],
                    memory: 32_768,
                    accelerators: 0,
                },
                labels: Vec::new(),
                draining: false,
                started_ms: Some(FIRST_START_MS),
            };
            let clock_rate = self.random.borrow_mut().random_range(MIN_CLOCK_RATE..1.0);
            let speed = site.speeds[index % site.speeds.len()];
            let upstream = EmulatedUpstream::new(
                record.clone(),
                speed,
                clock_rate,
                &self.job_profiles,
                &slowdowns,
            );
            self.fleet.borrow_mut().push(Rc::new(RefCell::new(upstream)));
            self.store.put(DecodedItem::Upstream(record));
        }
        self.store.put(DecodedItem::Configuration(RouteTable::new(1, [], Limits::default())));
    }

    /// Starts a host's process, in place of its former one.
    fn start_host(&self, host: usize) {
        let site = &self.plan.site;
        let centre = host / site.hosts_each;
        self.network.assign_centre(Node::Host(host), centre);
        let address = |port: u16| SocketAddr::from(([10, 1, 0, host as u8], port));
        let settings = HostSettings {
            name: Host::new(format!("h{host}")),
            data_centre: centre_name(centre),
            callers_address: address(1),
            readiness_address: address(2),
            peers_address: address(3),
            ip: address(0).ip(),
            store_address: address(4),
            seeds: Vec::new(),
            cpu_share: site.cpu_shares[host % site.cpu_shares.len()],
            machine: MACHINE,
            grace: STOP_GRACE,
            configuration_time: CONFIGURATION_TIME,
        };
        let process = Process::new();
        let (network, fleet) = (self.network.clone(), self.fleet.clone());
        let environment = EmulatedEnvironment {
            store: HostStore { state: self.store.clone(), network: network.clone(), host },
            upstreams: HostUpstreams {
                network: network.clone(),
                host,
                fleet,
                process_end: process.end(),
                auditor: self.auditor.clone(),
                order_faults: self.order_faults.clone(),
                random: self.random.clone(),
                deadly_starts: self.deadly_starts.clone(),
            },
            network: HostNetwork { network, host },
            clock: VirtualClock::start(),
            caller_protocol: NoCallerProtocol,
        };
        let sink = Arc::new(LogSink::new(&self.log));
        let entry = Rc::new(RefCell::new(None));
        if let Ok(event_log) = EventLog::with_sink(&settings.name, &settings.data_centre, sink) {
            let slot = entry.clone();
            let options = self.plan.options.clone();
            process.spawn(async move {
                let bound = EntryHost::bind(settings, environment, event_log, options).await;
                *slot.borrow_mut() = bound.ok();
            });
        }
        let machine =
            Machine { process, entry, stopping: false, disturbed_until: Cell::new(Instant::now()) };
        let mut machines = self.machines.borrow_mut();
        if host < machines.len() {
            machines[host] = machine;
        } else {
            machines.push(machine);
        }
    }

    /// Draws the host for a submission, or returns `None` if no host accepts callers.
    fn pick_host(&self) -> Option<usize> {
        let machines = self.machines.borrow();
        let accepts = |(index, machine): (usize, &Machine)| {
            let bound = machine.entry.borrow().is_some();
            (!machine.stopping && !machine.process.is_killed() && bound).then_some(index)
        };
        let hosts: Vec<usize> = machines.iter().enumerate().filter_map(accepts).collect();
        if hosts.is_empty() {
            return None;
        }
        // The balancer distributes connections by a hash, which is uneven. The square of a uniform
        // draw emulates that: hosts with a low index get more callers.
        let point: f64 = self.random.borrow_mut().random();
        Some(hosts[((point * point) * hosts.len() as f64) as usize])
    }

    /// Submits a job to a host. The caller disconnects after `leaves_after`, if that is given.
    async fn submit(&self, request: Request, leaves_after: Option<Duration>) -> Answer {
        let Some(host) = self.pick_host() else { return Answer::ConnectionLost };
        sleep(CALLER_DELAY).await;
        let sent = Instant::now();
        let caller_timeout = request.deadline.since(request.received);
        let handle = {
            let machines = self.machines.borrow();
            let machine = &machines[host];
            let Some(entry) = machine.entry.borrow().clone() else { return Answer::ConnectionLost };
            if machine.process.is_killed() {
                return Answer::ConnectionLost;
            }
            machine.process.spawn(async move {
                let now = Clock::now(entry_clock(&entry));
                let deadline = now + caller_timeout;
                let request = Request { received: now, deadline, ..request };
                let job = timeout(caller_timeout, entry.run_job(request));
                job.await.map_or(Outcome::MayHaveRun("timeout"), |(_, outcome)| outcome)
            })
        };
        let abort = handle.abort_handle();
        let wait = leaves_after.unwrap_or(caller_timeout + ANSWER_SLACK);
        match timeout(wait, handle).await {
            Ok(Ok(outcome)) => {
                sleep(CALLER_DELAY).await;
                Answer::Outcome(outcome)
            }
            Ok(Err(_)) => Answer::ConnectionLost,
            Err(_) => {
                abort.abort();
                let machines = self.machines.borrow();
                let machine = &machines[host];
                let undisturbed =
                    machine.disturbed_until.get() < sent && !machine.process.is_suspended();
                if leaves_after.is_some() {
                    Answer::Left
                } else if undisturbed && !machine.process.is_killed() {
                    Answer::Missing(sent.elapsed())
                } else {
                    Answer::ConnectionLost
                }
            }
        }
    }

    /// Attributes missing answers to a fault, for submissions to a host until [`FAULT_AFTEREFFECT`]
    /// from now.
    fn mark_disturbed(&self, host: usize) {
        let machines = self.machines.borrow();
        machines[host].disturbed_until.set(Instant::now() + FAULT_AFTEREFFECT);
    }

    /// Ends all runs, and checks them for violations.
    fn evaluate(&self) -> Verdict {
        let now = Instant::now();
        let mut runs: BTreeMap<Task, Vec<CompletedRun>> = BTreeMap::new();
        let mut superseded_seconds = 0.0;
        let mut most_losses = 0;
        let mut spans = Vec::new();
        let origin = self.auditor.origin.get();
        for (index, upstream) in self.fleet.borrow().iter().enumerate() {
            let mut upstream = upstream.borrow_mut();
            upstream.end_all_runs(now);
            for run in &upstream.completed_runs {
                spans.push(Span {
                    task: run.task.clone(),
                    upstream: index,
                    begin: run.started_at - origin,
                    end: run.ended_at - origin,
                    started_late: run.started_late,
                });
                runs.entry(run.task.clone()).or_default().push(run.clone());
            }
        }
        let mut violations = std::mem::take(&mut *self.violations.borrow_mut());
        violations.extend(self.starts_in_evacuated_centres(&spans));
        violations.extend(self.auditor.take_violations());
        let refused = self.refused.borrow();
        let failed = self.failed.borrow();
        let mut failures_by_job: BTreeMap<Id, usize> =
            failed.keys().map(|id| (id.clone(), 0)).collect();
        for (task, completed) in &mut runs {
            completed.sort_by_key(|run| run.started_at);
            for pair in completed.windows(2) {
                if pair[1].started_at < pair[0].ended_at
                    && !pair[0].started_late
                    && !pair[1].started_late
                {
                    let overlap = pair[0].ended_at - pair[1].started_at;
                    violations.push(Violation::ConcurrentRuns { task: task.clone(), overlap });
                }
            }
            let losses: Vec<usize> =
                (0..completed.len()).filter(|n| completed[*n].is_lost()).collect();
            most_losses = most_losses.max(losses.len());
            if let Some(most) = failures_by_job.get_mut(&task.job) {
                // Runs of earlier submissions don't count, nor those that were started late.
                let submitted_at = failed[&task.job];
                let failures = completed.iter().filter(|run| {
                    run.how == Some(RunEnd::Failed)
                        && run.started_at >= submitted_at
                        && !run.started_late
                });
                *most = failures.count().max(*most);
            }
            if let Some(third) = losses.get(2)
                && completed.len() - (third + 1) >= MAX_STARTS_AFTER_THIRD_LOSS
            {
                let losses = losses.len();
                violations.push(Violation::StartedAfterLosses { task: task.clone(), losses });
            }
            if refused.contains(&task.job) && completed.iter().any(|run| !run.started_late) {
                violations.push(Violation::RefusedJobRan { task: task.clone() });
            }
            for run in completed.iter().rev().skip(1) {
                superseded_seconds += run.ended_at.duration_since(run.started_at).as_secs_f64();
            }
        }
        for (job, failures) in failures_by_job {
            if failures < MAX_ATTEMPTS as usize {
                let job = job.to_string();
                violations.push(Violation::FailedWithoutCause { job, failures });
            }
        }
        let classes = self.plan.load.classes.iter().map(|class| class.name);
        let classes = classes.zip(self.stats.borrow().iter().copied()).collect();
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner).clone();
        Verdict {
            violations,
            classes,
            answer_ages: self.answer_ages.take(),
            runs: runs.values().map(Vec::len).sum(),
            spans,
            most_losses,
            superseded_seconds,
            log,
        }
    }
}

impl World {
    /// Returns the starts on upstreams of data centres that were evacuated more than
    /// [`EVACUATION_TIME`] before.
    fn starts_in_evacuated_centres(&self, spans: &[Span]) -> Vec<Violation> {
        let mut violations = Vec::new();
        for Fault { at, kind } in &self.plan.faults {
            let FaultKind::Evacuate { centre, span } = kind else { continue };
            let is_violation = |run: &&Span| {
                run.upstream / self.plan.site.upstreams_each == *centre
                    && (*at + EVACUATION_TIME..*at + *span).contains(&run.begin)
                    && !run.started_late
            };
            violations.extend(spans.iter().filter(is_violation).map(|run| {
                Violation::StartedInEvacuated { task: run.task.clone(), after: run.begin - *at }
            }));
        }
        violations
    }
}

/// Result of a submission, as the caller sees it.
enum Answer {
    /// The host answered.
    Outcome(Outcome),
    /// The connection was lost, no host accepted it, or a fault of the host explains a missing
    /// answer.
    ConnectionLost,
    /// The caller disconnected.
    Left,
    /// A host without faults gave no answer within this time.
    Missing(Duration),
}

fn centre_name(centre: usize) -> DataCentre {
    DataCentre::new(format!("c{centre}"))
}

fn entry_clock(entry: &Rc<EntryHost<EmulatedEnvironment>>) -> &VirtualClock {
    entry.clock()
}
