//! Starts of suspect tasks, under which an upstream crashed, on upstreams of their own.
//!
//! Addresses the load pattern "a task crashes each upstream that starts it, and all upstreams have
//! runs": without an upstream of its own, each further crash would take others' runs along, and the
//! tasks of these runs would look like the cause.

use super::Pool;
use super::place::Placement;
use crate::clock::Time;
use crate::pool::interference::Conflicts;
use crate::pool::job::Job;
use crate::pool::upstream::Upstream;
use crate::pool::{JobKey, Task, UpstreamKey};
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of usable upstreams for each one that a suspect task may have to itself. After many
/// crashes at once the tasks are hardly the cause, and the capacity is needed.
const UPSTREAMS_PER_SUSPECT: usize = 8;

impl Pool {
    /// Starts suspect tasks on idle upstreams, and keeps upstreams free for those that find none.
    /// Returns the suspects that have to wait. Those beyond the number of upstreams that may be kept
    /// are started like any other task, unless some task was found to crash upstreams lately.
    pub(super) fn place_suspects(&mut self, now: Time) -> BTreeSet<Task> {
        let mut waiting = BTreeSet::new();
        self.release_isolated(now);
        let (jobs, jobs_by_id) = (&self.jobs, &self.jobs_by_id);
        self.suspects.retain(|task| jobs_by_id.contains_key(&task.job));
        let startable = |task: &&Task| {
            let job = jobs_by_id.get(&task.job).and_then(|key| jobs.get(*key));
            job.is_some_and(|job| job.is_startable(task))
        };
        let startable: Vec<Task> = self.suspects.iter().filter(startable).cloned().collect();
        for task in startable {
            let Some(key) = self.jobs_by_id.get(&task.job).copied() else { continue };
            let is_started = match self.isolate(key, &task, now) {
                Some(upstream) => self.start_isolated(key, &task, upstream, now),
                None if self.quarantine.has_convicted(now) => false,
                None => continue,
            };
            if !is_started {
                waiting.insert(task);
            }
        }
        waiting
    }

    /// Makes upstreams available to all tasks again that are kept for a task which no longer waits
    /// for them or runs there, or that can't be used or can't hold it any more.
    fn release_isolated(&mut self, now: Time) {
        let (jobs, jobs_by_id, runs) = (&self.jobs, &self.jobs_by_id, &self.runs);
        let waits_for = |task: &Task, upstream: &Upstream| {
            let job = jobs_by_id.get(&task.job).and_then(|key| jobs.get(*key));
            job.filter(|job| job.is_startable(task)).is_some_and(|job| {
                let step = &job.request.steps[task.step as usize];
                upstream.is_usable(now) && upstream.can_hold(&job.request.service, step)
            })
        };
        for upstream in self.upstreams.values_mut() {
            let Some(task) = &upstream.isolated_for else { continue };
            let mut on_it = upstream.runs.iter().filter_map(|run| runs.get(*run));
            let runs_there = on_it.any(|run| run.task == *task);
            if !(runs_there || waits_for(task, upstream)) {
                upstream.isolated_for = None;
            }
        }
    }

    /// Returns the upstream that is kept for a suspect task. If there is none, keeps an idle one for
    /// it, or the one that will probably be idle first. Returns `None` if none can hold the task, or
    /// if as many upstreams are kept for suspects as may be.
    fn isolate(&mut self, key: JobKey, task: &Task, now: Time) -> Option<UpstreamKey> {
        let is_kept = |(_, upstream): &(_, &Upstream)| upstream.isolated_for.as_ref() == Some(task);
        if let Some((kept, _)) = self.upstreams.iter().find(is_kept) {
            return Some(kept);
        }
        let usable = self.upstreams.values().filter(|upstream| upstream.is_usable(now)).count();
        let kept =
            self.upstreams.values().filter(|upstream| upstream.isolated_for.is_some()).count();
        if kept >= usable.div_ceil(UPSTREAMS_PER_SUSPECT) {
            return None;
        }
        let job = self.jobs.get(key)?;
        let (step, index) = (task.step as usize, task.index as usize);
        let idle =
            self.choose_upstream(job, step, index, Upstream::is_idle, Conflicts::default(), now);
        let upstream = idle.or_else(|| self.first_idle(job, task, now))?;
        self.upstreams.get_mut(upstream)?.isolated_for = Some(task.clone());
        Some(upstream)
    }

    /// Returns the upstream that could hold a task alone and whose runs will probably end first.
    fn first_idle(&self, job: &Job, task: &Task, now: Time) -> Option<UpstreamKey> {
        let step = &job.request.steps[task.step as usize];
        let avoid = &job.steps[task.step as usize][task.index as usize].avoid;
        let candidates = self.upstreams.iter().filter(|(_, upstream)| {
            upstream.is_usable(now)
                && upstream.isolated_for.is_none()
                && upstream.foreign.runs.is_empty()
                && upstream.can_hold(&job.request.service, step)
        });
        let cost = |(key, upstream): &(UpstreamKey, &Upstream)| {
            (avoid.contains(key), self.time_until_idle(upstream, now))
        };
        candidates.min_by_key(cost).map(|(key, _)| key)
    }

    /// Returns the time after which the runs on an upstream are expected to have ended.
    fn time_until_idle(&self, upstream: &Upstream, now: Time) -> Duration {
        let runs = upstream.runs.iter().filter_map(|run| self.runs.get(*run));
        runs.map(|run| (run.ordered_at + run.expected).since(now)).max().unwrap_or_default()
    }

    /// Starts a suspect task on the upstream that is kept for it, once that is idle. Returns whether
    /// it was ordered.
    fn start_isolated(
        &mut self,
        key: JobKey,
        task: &Task,
        upstream_key: UpstreamKey,
        now: Time,
    ) -> bool {
        let Some(upstream) = self.upstreams.get(upstream_key) else { return false };
        let Some(job) = self.jobs.get(key) else { return false };
        let (step, index) = (task.step as usize, task.index as usize);
        let needs = job.request.steps[step].needs;
        if !upstream.is_idle() || !needs.fits(&upstream.free()) || now < upstream.no_starts_until {
            return false;
        }
        let expected = self.expected_duration(job, &job.request.steps[step], upstream_key);
        let placement = Placement { upstream: upstream_key, expected, apart_from: None };
        self.start_run(key, step, index, placement, now)
    }
}
