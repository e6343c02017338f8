//! Jobs as the dispatcher holds them.

use super::{RunKey, UpstreamKey};
use crate::clock::Time;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

slotmap::new_key_type! {
    /// Names a job of one dispatcher.
    pub struct JobKey;
}

/// Identifier that the caller chose.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(Arc<str>);

impl Id {
    /// Takes an identifier as it stands.
    pub fn new(text: impl AsRef<str>) -> Self {
        Id(Arc::from(text.as_ref()))
    }

    /// The identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A job as it is submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its identifier.
    pub id: Id,
    /// What its tasks are to do; handed on as it is.
    pub spec: Arc<str>,
    /// Its class, for estimates and metrics.
    pub class: Arc<str>,
    /// The pool of upstreams that runs it.
    pub service: Arc<str>,
    /// Zero is the most urgent.
    pub priority: u32,
    /// A task that has failed this often fails the job.
    pub max_attempts: u32,
    /// Its steps.
    pub steps: Vec<Step>,
    /// When the entry host read it.
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
    /// What one task takes.
    pub needs: Needs,
    /// Declared duration of one task on a usual upstream.
    pub estimate: Duration,
    /// Steps that have to be done before.
    pub after: Vec<u32>,
    /// Label that the upstream must have.
    pub label: Option<Arc<str>>,
    /// Label of the rack where the data lies.
    pub near: Option<Arc<str>>,
    /// Most tasks of the step on one upstream; zero for no bound.
    pub max_per_upstream: u32,
}

/// Declared duration of the longest chain of steps that wait for one another.
pub fn longest_chain(steps: &[Step]) -> Duration {
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
    /// Thousandths of a core.
    pub cpu: u32,
    /// Megabytes.
    pub memory: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Needs {
    /// Whether this much fits into what is free.
    pub fn fits(&self, free: &Needs) -> bool {
        self.cpu <= free.cpu && self.memory <= free.memory && self.accelerators <= free.accelerators
    }

    /// Adds resources.
    pub fn add(&mut self, other: &Needs) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.accelerators += other.accelerators;
    }

    /// What is left of these resources when `used` are taken.
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
    /// A task failed as often as it may.
    Failed,
    /// Nothing of it was started, and nothing will be.
    NotRun {
        /// When the caller may try again.
        retry_after: Duration,
        /// Which check refused it.
        why: &'static str,
    },
    /// Some of it may have run, and there is no answer.
    MayHaveRun(&'static str),
}

/// Factor by which declared durations may be too short; errors of 40% make it one job in forty.
const DECLARED_ERROR: u32 = 2;
/// Share of its declared duration that a task takes at least: on a fast upstream, and by an
/// estimate that is too long by 40%.
const LEAST_SHARE: f64 = 0.4;

/// State of one task.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    /// The run that is out, if any.
    pub run: Option<RunKey>,
    /// Whether it is done.
    pub done: bool,
    /// Runs that ended as failed.
    pub failures: u32,
    /// Number of the last start.
    pub last_number: u32,
    /// Upstreams where it failed or stood still.
    pub avoid: Vec<UpstreamKey>,
}

/// A job in progress.
#[derive(Debug)]
pub(super) struct Job {
    pub request: Request,
    /// Tasks of each step.
    pub steps: Vec<Vec<Progress>>,
    /// Whether an order to start one of its tasks was given and not refused.
    pub begun: bool,
    /// Whether a run of it has ended.
    pub ran: bool,
    /// Breaks ties in the order of waiting jobs.
    pub sequence: u64,
    /// Logarithms of the runs' durations, and the upstreams, for estimates of speed.
    pub durations: Vec<(UpstreamKey, f64)>,
}

impl Job {
    pub fn new(request: Request, sequence: u64) -> Self {
        let progress = |step: &Step| vec![Progress::default(); step.count as usize];
        let steps = request.steps.iter().map(progress).collect();
        Job { request, steps, begun: false, ran: false, sequence, durations: Vec::new() }
    }

    /// When the answer is wanted.
    pub fn wanted(&self) -> Time {
        self.request.received + self.request.objective
    }

    /// After this instant the job is given up. The objective rests on declared durations: while all
    /// that is left of the job runs, only the caller's patience bounds it.
    pub fn useless(&self, late_factor: u32) -> Time {
        if self.startable().next().is_none() {
            return self.request.deadline;
        }
        let late = self.request.objective * late_factor * DECLARED_ERROR;
        (self.request.received + late).min(self.request.deadline)
    }

    pub fn is_done(&self) -> bool {
        self.steps.iter().flatten().all(|task| task.done)
    }

    /// Whether all steps are done that `step` waits for.
    pub fn is_ready(&self, step: usize) -> bool {
        let done = |before: &u32| {
            self.steps.get(*before as usize).is_some_and(|tasks| tasks.iter().all(|t| t.done))
        };
        self.request.steps[step].after.iter().all(done)
    }

    /// Tasks that could be started now, as step and index.
    pub fn startable(&self) -> impl Iterator<Item = (usize, usize)> + '_ {
        let ready = (0..self.steps.len()).filter(|step| self.is_ready(*step));
        ready.flat_map(|step| {
            let waits = |(_, task): &(usize, &Progress)| !task.done && task.run.is_none();
            self.steps[step].iter().enumerate().filter(waits).map(move |(index, _)| (step, index))
        })
    }

    /// Least time until the job could be done, by the declared durations of the tasks that wait.
    pub fn least_left(&self) -> Duration {
        let longest = self.startable().map(|(step, _)| self.request.steps[step].estimate).max();
        longest.unwrap_or_default().mul_f64(LEAST_SHARE)
    }

    /// Core-seconds of the tasks that are neither done nor out, by the declared durations.
    pub fn waiting_work(&self) -> f64 {
        let waits = |tasks: &Vec<Progress>| {
            tasks.iter().filter(|task| !task.done && task.run.is_none()).count() as f64
        };
        let steps = self.request.steps.iter().zip(&self.steps);
        steps.map(|(step, tasks)| waits(tasks) * step.work()).sum()
    }
}

impl Step {
    /// Core-seconds of one task, by the declared duration.
    pub fn work(&self) -> f64 {
        f64::from(self.needs.cpu) / 1_000.0 * self.estimate.as_secs_f64()
    }
}
