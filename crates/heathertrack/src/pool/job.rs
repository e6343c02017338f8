//! Jobs and their tasks as a dispatcher tracks them.

use super::{FailedRun, RunKey, Task, UpstreamKey};
use crate::clock::Time;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

slotmap::new_key_type! {
    /// Key of a job within one dispatcher.
    pub struct JobKey;
}

/// Identifier of a job, chosen by the caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(Arc<str>);

impl Id {
    /// Creates an identifier from a text, without checks.
    pub fn new(text: impl AsRef<str>) -> Self {
        Id(Arc::from(text.as_ref()))
    }

    /// Returns the identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifier.
    pub id: Id,
    /// Specification of the work of its tasks, passed to upstreams unchanged.
    pub spec: Arc<str>,
    /// Class of similar jobs, for which durations are learned and metrics are recorded.
    pub class: Arc<str>,
    /// Service whose upstreams run it.
    pub service: Arc<str>,
    /// Priority; zero is the most urgent.
    pub priority: u32,
    /// Number of failed runs of one task that fails the job.
    pub max_attempts: u32,
    /// Steps.
    pub steps: Vec<Step>,
    /// When the entry host received it.
    pub received: Time,
    /// Time from `received` within which the caller wants the answer.
    pub objective: Duration,
    /// When the caller stops waiting.
    pub deadline: Time,
}

/// One step of a job: tasks of the same kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources of one task.
    pub needs: Needs,
    /// Declared duration of one task on an upstream of usual speed.
    pub estimate: Duration,
    /// Indices of the steps that have to be done before this one.
    pub after: Vec<u32>,
    /// Label that the upstream must have.
    pub label: Option<Arc<str>>,
    /// Label of the rack that holds the data.
    pub near: Option<Arc<str>>,
    /// Maximum number of tasks of the step on one upstream at a time; zero for no limit.
    pub max_per_upstream: u32,
}

/// Returns the declared duration of the critical path, the longest chain of dependent steps.
pub fn critical_path(steps: &[Step]) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    for step in steps {
        let before = step.after.iter().filter_map(|index| ends.get(*index as usize));
        let begin = before.max().copied().unwrap_or_default();
        ends.push(begin + step.estimate);
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Resources of a task, or of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Needs {
    /// CPU, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in megabytes.
    pub memory: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Needs {
    /// Returns whether these needs fit into the free resources.
    pub fn fits(&self, free: &Needs) -> bool {
        self.cpu <= free.cpu && self.memory <= free.memory && self.accelerators <= free.accelerators
    }

    /// Returns how many times these needs fit into the free resources.
    pub fn count_in(&self, free: &Needs) -> u32 {
        let count = |need: u32, free: u32| free.checked_div(need).unwrap_or(u32::MAX);
        count(self.cpu, free.cpu)
            .min(count(self.memory, free.memory))
            .min(count(self.accelerators, free.accelerators))
    }

    /// Adds resources.
    pub fn add(&mut self, other: &Needs) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.accelerators += other.accelerators;
    }

    /// Returns what is left of these resources without `used`; never less than zero.
    pub fn without(&self, used: &Needs) -> Needs {
        Needs {
            cpu: self.cpu.saturating_sub(used.cpu),
            memory: self.memory.saturating_sub(used.memory),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task has failed the maximum number of times.
    Failed,
    /// No task was started, and none will be.
    NotRun {
        /// Time after which the caller may try again.
        retry_after: Duration,
        /// The check that refused the job.
        why: &'static str,
    },
    /// Some tasks may have run, but it is unknown whether all are done. Holds the reason.
    MayHaveRun(&'static str),
    /// Its caller has cancelled it. Some tasks may have run, and none will be started.
    Cancelled,
}

/// Why a job is returned that waits for upstreams of an evacuated data centre. Another dispatcher may have
/// room for it.
pub const EVACUATED: &str = "the data centre is evacuated";

/// Why a job is turned away while its dispatcher shares a shortage.
pub const SHORTAGE: &str = "more arrives than can be started";

impl Outcome {
    /// Returns whether the job was turned away in a shortage.
    pub fn is_shortage(&self) -> bool {
        matches!(self, Outcome::NotRun { why, .. } if *why == SHORTAGE)
    }

    /// Returns whether the job was returned because of an evacuation.
    pub fn is_evacuation(&self) -> bool {
        matches!(self, Outcome::NotRun { why, .. } if *why == EVACUATED)
    }
}

/// Factor by which declared durations are allowed to be too short. With errors of 40%, one job in
/// forty exceeds it.
const ESTIMATE_ERROR_FACTOR: u32 = 2;
/// Minimum share of its declared duration that a task takes: on a fast upstream, with an estimate
/// that is too long by 40%.
const MIN_ESTIMATE_SHARE: f64 = 0.4;

/// State of one task.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskState {
    /// Run that is not known to have ended, if any.
    pub run: Option<RunKey>,
    /// Whether it is done.
    pub done: bool,
    /// Failed runs.
    pub failures: Vec<FailedRun>,
    /// Number of stalled runs.
    pub stalls: u32,
    /// Number of the last run; the next one gets a higher number.
    pub last_number: u32,
    /// Upstreams where one of its runs failed, was stopped, expired or disappeared.
    pub avoid: Vec<UpstreamKey>,
}

/// A job in progress.
#[derive(Debug)]
pub(super) struct Job {
    pub request: Request,
    /// State of each task, by step and by index within the step.
    pub steps: Vec<Vec<TaskState>>,
    /// Whether the start of a task was ordered and not refused.
    pub has_started: bool,
    /// Whether one of its runs has ended. Then the job is never reported as not run.
    pub has_ended_run: bool,
    /// Position in the order of submission, which breaks ties between queued jobs.
    pub sequence: u64,
    /// Upstream of each completed run, and natural logarithm of the run's duration in seconds. The
    /// speeds of upstreams are learned from them.
    pub log_durations: Vec<(UpstreamKey, f64)>,
    backlog: Backlog,
}

/// What is queued of a job. Kept at hand, as it is read for each job in progress at each decision.
#[derive(Clone, Copy, Debug, Default)]
struct Backlog {
    /// Least CPU of a task that can be started now, in thousandths of a core; `None` without one.
    least_cpu: Option<u32>,
    /// Core-seconds of the tasks that are neither done nor have a current run, by their declared
    /// durations.
    work: f64,
}

impl Job {
    pub fn new(request: Request, sequence: u64) -> Self {
        let task_states = |step: &Step| vec![TaskState::default(); step.count as usize];
        let steps = request.steps.iter().map(task_states).collect();
        let mut job = Job {
            request,
            steps,
            has_started: false,
            has_ended_run: false,
            sequence,
            log_durations: Vec::new(),
            backlog: Backlog::default(),
        };
        job.update_backlog();
        job
    }

    /// Has to be called after a run of a task has begun or ended.
    pub fn update_backlog(&mut self) {
        let least_cpu = self.startable().map(|(step, _)| self.request.steps[step].needs.cpu).min();
        self.backlog = Backlog { least_cpu, work: self.count_queued_work() };
    }

    /// Returns the least CPU of a task that can be started now, in thousandths of a core; `None`
    /// without such a task.
    pub fn least_startable_cpu(&self) -> Option<u32> {
        self.backlog.least_cpu
    }

    /// Returns the instant at which the job's objective ends.
    pub fn due(&self) -> Time {
        self.request.received + self.request.objective
    }

    /// Returns the instant after which the job is given up.
    ///
    /// While a task waits for a start, that is the instant from which an answer is too late to be
    /// useful, or the caller's deadline if it is earlier. Otherwise only the deadline applies: the
    /// objective is derived from declared durations, and the current runs may take longer.
    pub fn give_up_at(&self, late_factor: u32) -> Time {
        if self.backlog.least_cpu.is_none() {
            return self.request.deadline;
        }
        let late = self.request.objective * late_factor * ESTIMATE_ERROR_FACTOR;
        (self.request.received + late).min(self.request.deadline)
    }

    /// Returns the identifier of a task.
    pub fn task(&self, step: usize, index: usize) -> Task {
        let job = self.request.id.clone();
        // Repeated jobs are not supported.
        Task { job, occurrence: 0, step: step as u32, index: index as u32 }
    }

    pub fn is_done(&self) -> bool {
        self.steps.iter().flatten().all(|task| task.done)
    }

    /// Iterates over the steps with a task that is neither done nor has a current run.
    pub fn unfinished_steps(&self) -> impl Iterator<Item = &Step> {
        let has_queued =
            |tasks: &Vec<TaskState>| tasks.iter().any(|task| !task.done && task.run.is_none());
        let steps = self.request.steps.iter().zip(&self.steps);
        steps.filter(move |(_, tasks)| has_queued(tasks)).map(|(step, _)| step)
    }

    /// Returns whether all steps that `step` depends on are done.
    pub fn is_ready(&self, step: usize) -> bool {
        let done = |before: &u32| {
            self.steps.get(*before as usize).is_some_and(|tasks| tasks.iter().all(|t| t.done))
        };
        self.request.steps[step].after.iter().all(done)
    }

    /// Iterates over the tasks that can be started now, as index of the step and index of the task
    /// within it.
    pub fn startable(&self) -> impl Iterator<Item = (usize, usize)> + '_ {
        let ready = (0..self.steps.len()).filter(|step| self.is_ready(*step));
        ready.flat_map(|step| {
            let is_queued = |(_, task): &(usize, &TaskState)| !task.done && task.run.is_none();
            self.steps[step]
                .iter()
                .enumerate()
                .filter(is_queued)
                .map(move |(index, _)| (step, index))
        })
    }

    /// Returns whether a task can be started now.
    pub fn is_startable(&self, task: &Task) -> bool {
        let (step, index) = (task.step as usize, task.index as usize);
        let state = self.steps.get(step).and_then(|tasks| tasks.get(index));
        state.is_some_and(|state| !state.done && state.run.is_none()) && self.is_ready(step)
    }

    /// Returns a lower bound of the time until the job is done, from the longest declared duration
    /// of the tasks that can be started now.
    pub fn min_time_left(&self) -> Duration {
        let longest = self.startable().map(|(step, _)| self.request.steps[step].estimate).max();
        longest.unwrap_or_default().mul_f64(MIN_ESTIMATE_SHARE)
    }

    /// Returns the core-seconds of the tasks that are neither done nor have a current run, by their
    /// declared durations.
    pub fn queued_work(&self) -> f64 {
        self.backlog.work
    }

    fn count_queued_work(&self) -> f64 {
        let queued = |tasks: &Vec<TaskState>| {
            tasks.iter().filter(|task| !task.done && task.run.is_none()).count() as f64
        };
        let steps = self.request.steps.iter().zip(&self.steps);
        steps.map(|(step, tasks)| queued(tasks) * step.work()).sum()
    }
}

impl Step {
    /// Returns the core-seconds of one task, by its declared duration.
    pub fn work(&self) -> f64 {
        f64::from(self.needs.cpu) / 1_000.0 * self.estimate.as_secs_f64()
    }
}
