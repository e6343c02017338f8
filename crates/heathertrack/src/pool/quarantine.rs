//! Tasks whose runs were lost with the process of their upstream.
//!
//! Addresses the load pattern "a task crashes each upstream that starts it": such a task is not
//! started again once two upstreams have crashed under it, however often its job is submitted.

use super::job::Id;
use super::{Loss, LossCause, Task};
use crate::clock::Time;
use crate::name;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of upstreams that may crash under a task. After the first crash, any run on the upstream
/// may have caused it; the users let a job be given up after the second one.
const MAX_CRASHES: usize = 2;
/// Number of upstreams that may be lost under a task for any cause. A crash without a closed
/// connection can't be told from a partition.
const MAX_LOSSES: usize = 3;
/// Time for which the losses of a task are remembered. Callers send a job again after seconds, and
/// not after their deadline.
const RETENTION: Duration = Duration::from_secs(60);
/// Time for which further crashes are attributed to tasks after one was found to crash upstreams.
const CONVICTION_SPAN: Duration = Duration::from_secs(10);
/// Maximum number of tasks with losses; above it, those with the oldest loss are forgotten.
const MAX_TASKS: usize = 4_096;

/// What the losses of a task say about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Verdict {
    /// It may be started.
    Clear,
    /// An upstream crashed under it, and it may be the cause.
    Suspect,
    /// Too many upstreams were lost under it, but it isn't known whether they crashed.
    Lost,
    /// Upstreams crashed under it, so it must not be started again.
    Crashing,
}

/// Process of an upstream: its name, and the Unix time of its start in milliseconds if known.
type Process = (name::Upstream, Option<u64>);

/// Losses of one task.
#[derive(Clone, Debug)]
struct Entry {
    /// Cause of the loss of each process. A process counts once, however often it is reported.
    losses: BTreeMap<Process, LossCause>,
    last_loss: Time,
}

impl Entry {
    fn crashes(&self) -> usize {
        self.losses.values().filter(|cause| cause.is_crash()).count()
    }

    fn verdict(&self, now: Time) -> Verdict {
        let (crashes, losses) = (self.crashes(), self.losses.len());
        if now.since(self.last_loss) > RETENTION {
            Verdict::Clear
        } else if crashes >= MAX_CRASHES {
            Verdict::Crashing
        } else if losses >= MAX_LOSSES {
            Verdict::Lost
        } else if crashes > 0 {
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
    /// Records a loss. One that was recorded before changes nothing, unless more is known of its
    /// cause.
    pub fn record(&mut self, loss: &Loss, now: Time) {
        if loss.cause == LossCause::Left {
            return;
        }
        self.entries.retain(|_, entry| now.since(entry.last_loss) <= RETENTION);
        let process = (loss.upstream.clone(), loss.started_ms);
        for task in &loss.tasks {
            let entry = self
                .entries
                .entry(task.clone())
                .or_insert_with(|| Entry { losses: BTreeMap::new(), last_loss: now });
            let before = entry.losses.get(&process).copied();
            entry.losses.insert(process.clone(), before.unwrap_or(loss.cause).max(loss.cause));
            if before.is_none() {
                entry.last_loss = now;
            }
            if entry.verdict(now) == Verdict::Crashing {
                self.last_conviction = Some(now);
            }
        }
        while self.entries.len() > MAX_TASKS {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_loss);
            let Some(oldest) = oldest.map(|(task, _)| task.clone()) else { return };
            self.entries.remove(&oldest);
        }
    }

    /// Returns the losses that are remembered, by process.
    pub fn losses(&self, now: Time) -> Vec<Loss> {
        let mut losses: BTreeMap<(&Process, LossCause), Vec<Task>> = BTreeMap::new();
        let remembered = |(_, entry): &(&Task, &Entry)| now.since(entry.last_loss) <= RETENTION;
        for (task, entry) in self.entries.iter().filter(remembered) {
            for (process, cause) in &entry.losses {
                losses.entry((process, *cause)).or_default().push(task.clone());
            }
        }
        let loss = |(((upstream, started_ms), cause), tasks): ((&Process, LossCause), _)| Loss {
            upstream: upstream.clone(),
            started_ms: *started_ms,
            cause,
            tasks,
        };
        losses.into_iter().map(loss).collect()
    }

    /// Records that a process is known to have ended.
    pub fn confirm(&mut self, upstream: &name::Upstream, started_ms: Option<u64>) {
        let process = (upstream.clone(), started_ms);
        for entry in self.entries.values_mut() {
            if let Some(cause) = entry.losses.get_mut(&process) {
                *cause = LossCause::Replaced;
            }
        }
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

    /// Returns the task of a job with the worst verdict, if any of its tasks must not be started.
    pub fn blocked_task(&self, job: &Id, now: Time) -> Option<(&Task, Verdict)> {
        let verdicts = self.verdicts(job, now);
        verdicts
            .filter(|(_, verdict)| *verdict >= Verdict::Lost)
            .max_by_key(|(_, verdict)| *verdict)
    }

    /// Returns how many upstreams crashed and how many were lost under a task.
    pub fn counts(&self, task: &Task) -> (usize, usize) {
        self.entries.get(task).map_or((0, 0), |entry| (entry.crashes(), entry.losses.len()))
    }

    /// Returns the number of tasks with losses that are still remembered.
    pub fn len(&self, now: Time) -> usize {
        self.entries.values().filter(|entry| now.since(entry.last_loss) <= RETENTION).count()
    }
}
