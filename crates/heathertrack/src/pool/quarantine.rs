//! Tasks whose runs were lost with the process of their upstream.
//!
//! Addresses the load pattern "a task crashes each upstream that starts it": such a task is not
//! started again for a minute once two upstreams seem to have crashed under it, also if its job is
//! submitted again. After that it is tried alone, and each further crash doubles the time to the next
//! trial, until so many upstreams have crashed that there is none.
//!
//! No loss proves that a task can't be done: a network path that resets connections looks like a crash,
//! and a run may have ended unheard just before its upstream crashed. So such a job is given up, and
//! never reported as failed.

use super::job::Id;
use super::{Evidence, Loss, LossCause, Task};
use crate::clock::Time;
use crate::name;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of upstreams that may seem to crash under a task. After the first crash, any run on the
/// upstream may have caused it; the users let a job be given up after the second one.
const MAX_CRASHES: usize = 2;
/// Number of upstreams that may be lost under a task that is blamed for it. A crash without a closed
/// connection can't be told from a partition.
const MAX_LOSSES: usize = 3;
/// Number of common losses of a task after which it runs alone, and is not started again after a loss
/// that it is blamed for. Tasks that crash their upstreams in step would go on doing so.
const MAX_COMMON_LOSSES: usize = 2;
/// Number of upstreams that may be lost under a task, whether or not it is blamed: the users let a
/// task be started twice more after three upstreams have crashed under it.
const MAX_TOTAL_LOSSES: usize = 5;
/// Time for which the losses of a task are remembered that may be started, and for which a task isn't
/// started after it was first found to lose too many. Most callers send a job again after seconds, and
/// not after their deadline.
const RETENTION: Duration = Duration::from_secs(60);
/// Time for which the losses of a task are remembered once there were too many. Longer than the pauses
/// between the submissions of a caller that never gives up.
const LONG_RETENTION: Duration = Duration::from_secs(16 * 60);
/// Time for which further crashes are attributed to tasks after one was found to crash upstreams.
const CONVICTION_SPAN: Duration = Duration::from_secs(10);
/// Maximum number of tasks with losses; above it, those with the oldest loss are forgotten.
const MAX_TASKS: usize = 4_096;

/// Process of an upstream: its name, and the Unix time of its start in milliseconds if known.
pub(super) type Process = (name::Upstream, Option<u64>);

/// What the loss of an upstream says about a task that was ordered from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Blame {
    /// Nothing: the upstream stopped together with others.
    Common,
    /// It may be the cause, but the upstream may as well be suspended or partitioned.
    Unknown,
    /// The upstream seems to have crashed under its run, and the task may be the cause.
    Crash,
}

impl Blame {
    /// All values, in declaration order.
    pub const ALL: [Blame; 3] = [Blame::Common, Blame::Unknown, Blame::Crash];

    /// Returns the name for logs.
    fn name(self) -> &'static str {
        match self {
            Blame::Common => "common",
            Blame::Unknown => "unknown",
            Blame::Crash => "crash",
        }
    }

    /// Returns what a report of a loss says about its tasks.
    fn of_report(report: &Loss) -> Self {
        match (report.cause.is_crash(), report.is_doubtful) {
            (true, _) => Blame::Crash,
            (false, true) => Blame::Common,
            (false, false) => Blame::Unknown,
        }
    }

    /// Returns the report of the loss of a process to other dispatchers. Those of an earlier release
    /// would report a job as failed for crashes that are not marked as doubtful.
    pub fn report(self, (upstream, started_ms): Process, tasks: Vec<Task>) -> Loss {
        let cause = match self {
            Blame::Common | Blame::Unknown => LossCause::Unresponsive,
            Blame::Crash => LossCause::Refused,
        };
        let is_doubtful = matches!(self, Blame::Common | Blame::Crash);
        Loss { upstream, started_ms, cause, is_doubtful, tasks }
    }
}

/// What the losses of a task say about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Verdict {
    /// It may be started.
    Clear,
    /// An upstream seems to have crashed under it, and it may be the cause.
    Suspect,
    /// Too many upstreams were lost under it, so it must not be started again.
    Lost,
}

/// Record of the loss of a process under one task.
#[derive(Clone, Copy, Debug)]
struct Record {
    blame: Blame,
    recorded_at: Time,
    /// Whether another dispatcher reported it.
    is_reported: bool,
}

/// Losses of one task.
#[derive(Clone, Debug)]
struct Entry {
    /// The loss of each process. A process counts once, however often it is reported.
    losses: BTreeMap<Process, Record>,
    last_loss: Time,
    /// How often it was found to have too many losses.
    bans: u32,
}

impl Entry {
    /// Returns the number of losses that say at least this much.
    fn count(&self, least: Blame) -> usize {
        self.losses.values().filter(|record| record.blame >= least).count()
    }

    fn is_in_step(&self) -> bool {
        self.losses.len() - self.count(Blame::Unknown) >= MAX_COMMON_LOSSES
    }

    fn has_too_many(&self) -> bool {
        let (crashes, blamed) = (self.count(Blame::Crash), self.count(Blame::Unknown));
        crashes >= MAX_CRASHES
            || blamed >= MAX_LOSSES
            || (self.is_in_step() && blamed > 0)
            || self.losses.len() >= MAX_TOTAL_LOSSES
    }

    /// Returns how long after the last loss a task with too many of them isn't started.
    fn ban(&self) -> Duration {
        if self.count(Blame::Crash) >= MAX_TOTAL_LOSSES {
            return LONG_RETENTION;
        }
        let doublings = self.bans.saturating_sub(1).min(u32::BITS - 1);
        RETENTION.saturating_mul(1 << doublings).min(LONG_RETENTION)
    }

    fn is_remembered(&self, now: Time) -> bool {
        let retention = if self.bans > 0 { LONG_RETENTION } else { RETENTION };
        now.since(self.last_loss) <= retention
    }

    fn verdict(&self, now: Time) -> Verdict {
        if !self.is_remembered(now) {
            Verdict::Clear
        } else if self.has_too_many() && now.since(self.last_loss) <= self.ban() {
            Verdict::Lost
        } else if self.has_too_many() || self.count(Blame::Crash) > 0 || self.is_in_step() {
            Verdict::Suspect
        } else {
            Verdict::Clear
        }
    }
}

/// Tasks with losses, kept beyond the end of their jobs.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    entries: BTreeMap<Task, Entry>,
    /// When a task was last found to crash upstreams.
    last_conviction: Option<Time>,
}

impl Quarantine {
    /// Records what the loss of an upstream's process says about tasks. A loss that was recorded
    /// before changes nothing, unless it says more now.
    pub fn record(&mut self, process: &Process, tasks: &[Task], blame: Blame, now: Time) {
        let record = Record { blame, recorded_at: now, is_reported: false };
        self.insert(process, tasks, record, now);
    }

    fn insert(&mut self, process: &Process, tasks: &[Task], record: Record, now: Time) {
        let blame = record.blame;
        self.entries.retain(|_, entry| entry.is_remembered(now));
        for task in tasks {
            let entry = self.entries.entry(task.clone()).or_insert_with(|| Entry {
                losses: BTreeMap::new(),
                last_loss: now,
                bans: 0,
            });
            let verdict = entry.verdict(now);
            let before = entry.losses.get(process).map(|record| record.blame);
            let known = entry.losses.entry(process.clone()).or_insert(record);
            known.blame = known.blame.max(blame);
            if before.is_none() {
                entry.last_loss = now;
            }
            // Reports of one loss may come again and again.
            if before.is_some_and(|before| before >= blame) {
                continue;
            }
            if verdict < Verdict::Lost && entry.has_too_many() {
                entry.bans += 1;
            }
            if entry.count(Blame::Crash) >= MAX_CRASHES {
                self.last_conviction = Some(now);
            }
        }
        while self.entries.len() > MAX_TASKS {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_loss);
            let Some(oldest) = oldest.map(|(task, _)| task.clone()) else { return };
            self.entries.remove(&oldest);
        }
    }

    /// Records another dispatcher's report of a loss, or of one that is taken back.
    pub fn record_report(&mut self, loss: &Loss, now: Time) {
        let process = (loss.upstream.clone(), loss.started_ms);
        if loss.cause == LossCause::Left {
            self.take_back(&process);
        } else {
            let blame = Blame::of_report(loss);
            let record = Record { blame, recorded_at: now, is_reported: true };
            self.insert(&process, &loss.tasks, record, now);
        }
    }

    /// Takes back the loss of a process that turned out to run on. Returns the tasks that it was
    /// recorded for.
    pub fn take_back(&mut self, process: &Process) -> Vec<Task> {
        let mut tasks = Vec::new();
        for (task, entry) in &mut self.entries {
            if entry.losses.remove(process).is_some() {
                tasks.push(task.clone());
            }
        }
        self.entries.retain(|_, entry| !entry.losses.is_empty());
        tasks
    }

    /// Returns reports of the losses of tasks with a recent one. Another dispatcher counts them from
    /// the report on, so reports of older ones would keep each other alive.
    pub fn losses(&self, now: Time) -> Vec<Loss> {
        let mut losses: BTreeMap<(&Process, Blame), Vec<Task>> = BTreeMap::new();
        let is_recent = |(_, entry): &(&Task, &Entry)| now.since(entry.last_loss) <= RETENTION;
        for (task, entry) in self.entries.iter().filter(is_recent) {
            for (process, record) in &entry.losses {
                losses.entry((process, record.blame)).or_default().push(task.clone());
            }
        }
        let report = |((process, blame), tasks): ((&Process, Blame), _)| {
            blame.report(process.clone(), tasks)
        };
        losses.into_iter().map(report).collect()
    }

    /// Returns whether a task was found to crash upstreams a short time ago, so that others may.
    pub fn has_convicted(&self, now: Time) -> bool {
        self.last_conviction.is_some_and(|at| now.since(at) < CONVICTION_SPAN)
    }

    /// Returns the tasks of a job that may have caused a crash, but may be started again.
    pub fn suspects(&self, job: &Id, now: Time) -> impl Iterator<Item = Task> {
        let verdicts = self.verdicts(job, now);
        verdicts.filter(|(_, verdict)| *verdict == Verdict::Suspect).map(|(task, _)| task.clone())
    }

    /// Returns what is known of the tasks of a job that have losses.
    fn verdicts(&self, job: &Id, now: Time) -> impl Iterator<Item = (&Task, Verdict)> {
        let first = Task { job: job.clone(), occurrence: 0, step: 0, index: 0 };
        let of_job = self.entries.range(first..).take_while(move |(task, _)| task.job == *job);
        of_job.map(move |(task, entry)| (task, entry.verdict(now)))
    }

    /// Returns the first task of a job that must not be started, if there is one.
    pub fn blocked_task(&self, job: &Id, now: Time) -> Option<&Task> {
        let mut verdicts = self.verdicts(job, now);
        verdicts.find(|(_, verdict)| *verdict == Verdict::Lost).map(|(task, _)| task)
    }

    /// Returns whether a task has so many common losses that it runs alone.
    pub fn is_in_step(&self, task: &Task) -> bool {
        self.entries.get(task).is_some_and(Entry::is_in_step)
    }

    /// Returns whether an upstream crashed under a task, as far as known.
    pub fn is_suspect(&self, task: &Task, now: Time) -> bool {
        self.entries.get(task).is_some_and(|entry| entry.verdict(now) >= Verdict::Suspect)
    }

    /// Returns how many upstreams seem to have crashed under a task.
    pub fn count_crashes(&self, task: &Task) -> usize {
        self.entries.get(task).map_or(0, |entry| entry.count(Blame::Crash))
    }

    /// Returns the losses of a task.
    pub fn evidence(&self, task: &Task, now: Time) -> Vec<Evidence> {
        let losses = self.entries.get(task).into_iter().flat_map(|entry| &entry.losses);
        let evidence = |((upstream, started_ms), record): (&Process, &Record)| Evidence {
            upstream: upstream.clone(),
            started_ms: *started_ms,
            blame: record.blame.name(),
            age: now.since(record.recorded_at),
            is_reported: record.is_reported,
        };
        losses.map(evidence).collect()
    }

    /// Returns the number of tasks with losses that are still remembered.
    pub fn len(&self, now: Time) -> usize {
        self.entries.values().filter(|entry| entry.is_remembered(now)).count()
    }
}
