use super::Pool;
use crate::clock::Time;
use crate::pool::interference::Conflicts;
use crate::pool::job::{Job, Step};
use crate::pool::order::Rank;
use crate::pool::patience;
use crate::pool::placement::Choice;
use crate::pool::run::{Run, RunState};
use crate::pool::upstream::{SLOW_CLOCK_FACTOR, Upstream};
use crate::pool::{Decision, Effect, JobKey, Task, UpstreamKey};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Factor by which a task is expected to take longer on another rack than that of its data: the
/// largest that the platform states (`far_x`).
const REMOTE_RACK_FACTOR: f64 = 2.0;

/// Free CPU of upstreams, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct FreeCpu {
    /// Largest one on an upstream.
    on_any: u32,
    /// Largest one on an upstream that is not far slower than usual.
    on_usual: u32,
    /// Highest speed of the slow upstreams with free CPU; zero without any.
    max_slow_speed: f64,
}

/// Where a run is started.
#[derive(Debug)]
pub(super) struct Placement {
    pub upstream: UpstreamKey,
    /// Expected duration there.
    pub expected: Duration,
    /// Class of the runs for which another upstream was avoided, if one was.
    pub apart_from: Option<Arc<str>>,
}

impl Pool {
    /// Starts queued tasks by rank wherever capacity is free.
    pub(super) fn place(&mut self, now: Time) {
        let waiting_suspects = self.place_suspects(now);
        if self.jobs.values().all(|job| job.least_startable_cpu().is_none()) {
            return;
        }
        let mut free = self.free_cpu(now);
        if free.on_any == 0 {
            return;
        }
        for (_, key) in self.ranked_backlog(free.on_any, now) {
            while let Some((step_index, task_index)) =
                self.next_task(key, self.usable_cpu(key, &free, now), &waiting_suspects)
            {
                if !self.place_task(key, step_index, task_index, now) {
                    // `next_task` would return the same task again.
                    break;
                }
                free = self.free_cpu(now);
                if free.on_any == 0 {
                    return;
                }
            }
        }
    }

    /// Returns the jobs with a task to start that takes at most `max_cpu` thousandths of a core, sorted
    /// by rank. The others are left out before they are sorted: with a long queue, most of them don't
    /// fit into what one ended run has left.
    fn ranked_backlog(&self, max_cpu: u32, now: Time) -> Vec<(Rank, JobKey)> {
        let fits = |(_, job): &(JobKey, &Job)| {
            job.least_startable_cpu().is_some_and(|least_cpu| least_cpu <= max_cpu)
        };
        let ranked = |(key, job): (JobKey, &Job)| (self.rank(job, now), key);
        let mut backlog: Vec<_> = self.jobs.iter().filter(fits).map(ranked).collect();
        backlog.sort_unstable();
        backlog
    }

    /// Returns the free CPU of the upstreams that accept starts.
    fn free_cpu(&self, now: Time) -> FreeCpu {
        let mut free = FreeCpu::default();
        for upstream in self.upstreams.values().filter(|upstream| upstream.accepts_starts(now)) {
            let cpu = upstream.free().cpu;
            free.on_any = free.on_any.max(cpu);
            if !upstream.speed.is_slow() {
                free.on_usual = free.on_usual.max(cpu);
            } else if cpu > 0 {
                free.max_slow_speed = free.max_slow_speed.max(upstream.speed.factor());
            }
        }
        free
    }

    /// Returns the largest free CPU of an upstream that a job can use now.
    fn usable_cpu(&self, key: JobKey, free: &FreeCpu, now: Time) -> u32 {
        if free.max_slow_speed <= f64::EPSILON {
            return free.on_any;
        }
        let Some(job) = self.jobs.get(key) else { return 0 };
        let Some((step, _)) = job.startable().next() else { return 0 };
        let usual = self.durations.expected(&job.request.class, job.request.steps[step].estimate);
        let on_slow = usual.div_f64(free.max_slow_speed);
        let waits = patience::waits(on_slow, usual, job.due().since(now));
        if waits && self.has_usual_upstreams(now) { free.on_usual } else { free.on_any }
    }

    /// Returns whether there is an upstream that is not far slower than usual, busy or not.
    fn has_usual_upstreams(&self, now: Time) -> bool {
        let mut upstreams = self.upstreams.values();
        upstreams.any(|upstream| upstream.is_usable(now) && !upstream.speed.is_slow())
    }

    /// Returns the first startable task that takes at most `max_cpu` thousandths of a core and is
    /// not among `waiting_suspects`, as index of the step and index of the task within it.
    fn next_task(
        &self,
        key: JobKey,
        max_cpu: u32,
        waiting_suspects: &BTreeSet<Task>,
    ) -> Option<(usize, usize)> {
        let job = self.jobs.get(key)?;
        job.startable().find(|(step, index)| {
            job.request.steps[*step].needs.cpu <= max_cpu
                && (waiting_suspects.is_empty()
                    || !waiting_suspects.contains(&job.task(*step, *index)))
        })
    }

    /// Orders the start of a task if an upstream can take it. Returns whether it was ordered.
    fn place_task(&mut self, key: JobKey, step_index: usize, task_index: usize, now: Time) -> bool {
        let Some(job) = self.jobs.get(key) else { return false };
        let conflicts = self.conflicts(job);
        let choose = |conflicts: Conflicts| {
            let anywhere = |_: &Upstream| true;
            self.choose_upstream(job, step_index, task_index, anywhere, conflicts, now)
        };
        let Some(upstream) = choose(conflicts) else { return false };
        let avoided = (!conflicts.is_empty()).then(|| choose(Conflicts::default())).flatten();
        let avoided = avoided.filter(|avoided| *avoided != upstream);
        let apart_from =
            avoided.and_then(|avoided| self.interference.conflicting_class(avoided, conflicts));
        let placement = Placement {
            upstream,
            expected: self.expected_duration(job, &job.request.steps[step_index], upstream),
            apart_from: apart_from.cloned(),
        };
        self.start_run(key, step_index, task_index, placement, now)
    }

    /// Returns the upstream for a task, among those with enough free capacity that fulfil the
    /// condition.
    pub(super) fn choose_upstream(
        &self,
        job: &Job,
        step_index: usize,
        task_index: usize,
        condition: impl Fn(&Upstream) -> bool,
        conflicts: Conflicts,
        now: Time,
    ) -> Option<UpstreamKey> {
        let step = &job.request.steps[step_index];
        let avoid = &job.steps[step_index][task_index].avoid;
        let time_left = job.due().since(now);
        let choices = self.upstreams.iter().filter(|(key, upstream)| {
            upstream.accepts_starts(now)
                && condition(upstream)
                && upstream.can_hold(&job.request.service, step)
                && step.needs.fits(&upstream.free())
                && self.below_limit(job, step_index, *key)
        });
        let mut choices: Vec<_> = choices.collect();
        let usual = self.durations.expected(&job.request.class, step.estimate);
        let waits = |(key, upstream): &(UpstreamKey, &Upstream)| {
            let there = || self.expected_duration(job, step, *key);
            upstream.speed.is_slow() && patience::waits(there(), usual, time_left)
        };
        if choices.iter().any(waits) && self.has_usual_upstreams(now) {
            choices.retain(|choice| !waits(choice));
        }
        // An upstream where a run of the task did not complete is used again only if no other can
        // take the task.
        let has_others = choices.iter().any(|(key, _)| !avoid.contains(key));
        let choices = choices.iter().filter(|(key, _)| !has_others || !avoid.contains(key));
        let choices = choices.map(|(key, upstream)| Choice {
            key: *key,
            bad_neighbours: self.interference.count_conflicting(*key, conflicts),
            duration: self.slowed(self.expected_duration(job, step, *key), *key, conflicts),
            spare: upstream.free().cpu - step.needs.cpu,
        });
        self.options.placement.choose(choices, time_left)
    }

    /// Returns whether the step's maximum number of tasks on one upstream allows another task
    /// there.
    fn below_limit(&self, job: &Job, step_index: usize, upstream: UpstreamKey) -> bool {
        let limit = job.request.steps[step_index].max_per_upstream;
        if limit == 0 {
            return true;
        }
        let current = job.steps[step_index].iter().filter_map(|task| self.runs.get(task.run?));
        (current.filter(|run| run.upstream == upstream).count() as u32) < limit
    }

    /// Returns the expected duration of a task on an upstream.
    pub(super) fn expected_duration(
        &self,
        job: &Job,
        step: &Step,
        upstream: UpstreamKey,
    ) -> Duration {
        let usual = self.durations.expected(&job.request.class, step.estimate);
        let Some(upstream) = self.upstreams.get(upstream) else { return usual };
        let is_remote = step.near.as_ref().is_some_and(|rack| !upstream.has_label(rack));
        let expected = upstream.speed.scale(usual);
        if is_remote { expected.mul_f64(REMOTE_RACK_FACTOR) } else { expected }
    }

    /// Orders the start of a run. Returns false without a reading of the upstream's clock, as the
    /// order has to contain the end of the lease, while a newer list is awaited, and in an evacuated data
    /// centre.
    pub(super) fn start_run(
        &mut self,
        key: JobKey,
        step_index: usize,
        task_index: usize,
        placement: Placement,
        now: Time,
    ) -> bool {
        let Placement { upstream: upstream_key, expected, apart_from } = placement;
        if self.awaits_list(upstream_key, now) {
            return false;
        }
        let lease = self.options.lease;
        let max_sharing_time = lease.mul_f64(SLOW_CLOCK_FACTOR) + self.max_sharing_time();
        let Some(upstream) = self.upstreams.get_mut(upstream_key) else { return false };
        if upstream.is_evacuated {
            return false;
        }
        let Some(min_clock_ms) = upstream.min_clock_ms(now) else { return false };
        let may_have_restarted = upstream.may_have_restarted(now);
        let Some(lease_end_ms) = upstream.renew_lease(lease, now) else { return false };
        let Some(job) = self.jobs.get_mut(key) else { return false };
        job.has_started = true;
        let task_state = &mut job.steps[step_index][task_index];
        task_state.last_number += 1;
        let number = task_state.last_number;
        let needs = job.request.steps[step_index].needs;
        self.shortage.on_start(job.request.steps[step_index].work(), now);
        let task = job.task(step_index, task_index);
        let task_state = &mut job.steps[step_index][task_index];
        let is_shared = upstream.has_shared_runs
            || !upstream.foreign.runs.is_empty()
            || self.rosters.has_any(&upstream.record.name);
        let run = self.runs.insert(Run {
            task: task.clone(),
            number,
            job: Some(key),
            upstream: upstream_key,
            process_started_ms: upstream.started_ms,
            needs,
            state: RunState::Starting,
            ordered_at: now,
            expected,
            absence_proves_end_at: None,
            poll_for_end: false,
            is_absent: false,
            seen_at: None,
            early_failure: None,
            competitor_may_renew: self.has_competitors,
            shared_until: if is_shared { now + max_sharing_time } else { Time::ZERO },
            min_clock_ms,
            may_have_restarted,
            unanswered_until: Time::ZERO,
            unanswered_stops: 0,
            expiring_since: None,
            percent: 0,
            progressed_at: now,
        });
        task_state.run = Some(run);
        job.update_backlog();
        upstream.used.add(&needs);
        upstream.runs.push(run);
        self.runs_by_task.insert((task.clone(), number), run);
        self.effects.push(Effect::Log(Decision::Placed {
            task: task.clone(),
            number,
            upstream: upstream.record.name.clone(),
            expected,
            apart_from: apart_from.clone(),
            speed: upstream.speed.factor(),
            answer_age: now.since(upstream.last_answer),
            age: now.since(job.request.received),
        }));
        self.kept_apart += u64::from(apart_from.is_some());
        let spec = job.request.spec.clone();
        let upstream = upstream_key;
        self.effects.push(Effect::Start { upstream, run, task, number, spec, lease_end_ms });
        self.on_run_ordered(run, now);
        true
    }
}
