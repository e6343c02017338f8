use super::Pool;
use crate::clock::Time;
use crate::pool::interference::{Conflicts, Pair, Start};
use crate::pool::job::Job;
use crate::pool::{Decision, Effect, JobKey, RunEnd, RunKey, UpstreamKey};
use std::time::Duration;

impl Pool {
    /// Iterates over the classes of jobs of which tasks have run beside each other.
    pub fn neighbour_pairs(&self, now: Time) -> impl Iterator<Item = Pair> {
        self.interference.pairs(now)
    }

    /// Returns the number of tasks that were started apart from others that slow them, or that they
    /// slow.
    pub fn kept_apart(&self) -> u64 {
        self.kept_apart
    }

    /// Returns the classes from which the tasks of a job are kept apart.
    pub(super) fn conflicts(&self, job: &Job) -> Conflicts {
        if self.options.keep_apart {
            self.interference.conflicts(&job.request.class)
        } else {
            Conflicts::default()
        }
    }

    /// Records the neighbours of a run that was ordered.
    pub(super) fn on_run_ordered(&mut self, key: RunKey, now: Time) {
        let Some(run) = self.runs.get(key) else { return };
        let Some(job) = run.job.and_then(|job| self.jobs.get(job)) else { return };
        let Some(upstream) = self.upstreams.get(run.upstream) else { return };
        let start = Start {
            run: key,
            upstream: run.upstream,
            class: &job.request.class,
            expected: run.expected,
            log_speed: upstream.speed.log(),
        };
        self.interference.on_start(start, now);
    }

    /// Records the end of a run for the comparison with other tasks of its job.
    pub(super) fn on_run_ended(&mut self, key: RunKey, how: RunEnd, now: Time) {
        let Some(run) = self.runs.get(key) else { return };
        let completed = run.job.filter(|_| how == RunEnd::Done).map(|job| (job, run.task.step));
        let age = now.since(run.ordered_at);
        self.interference.on_end(key, run.upstream, completed, age, now);
    }

    /// Learns from the runs of a job that has ended which tasks slow each other.
    pub(super) fn learn_neighbours(&mut self, key: JobKey, is_completed: bool, now: Time) {
        let upstreams = &self.upstreams;
        let log_speed = |key: UpstreamKey| upstreams.get(key).map(|upstream| upstream.speed.log());
        let changed = self.interference.on_job_ended(key, is_completed, log_speed, now);
        let log = |pair| Effect::Log(Decision::Neighbours(pair));
        self.effects.extend(changed.into_iter().map(log));
    }

    /// Returns the expected duration of a task beside the runs that are on an upstream now, from that
    /// without neighbours.
    pub(super) fn slowed(
        &self,
        duration: Duration,
        upstream: UpstreamKey,
        conflicts: Conflicts,
    ) -> Duration {
        if conflicts.is_empty() {
            return duration;
        }
        duration.mul_f64(self.interference.slowdown(upstream, conflicts))
    }
}
