use super::Pool;
use crate::clock::Time;
use crate::pool::job::Outcome;
use crate::pool::job::TaskState;
use crate::pool::run::{Run, RunState};
use crate::pool::upstream::max_lease_expiry;
use crate::pool::{
    Decision, Effect, FailedRun, JobKey, Loss, LossCause, LostRun, RunEnd, RunKey, StartAnswer,
    Task, UpstreamKey,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Pause of starts on an upstream that refused one for want of capacity while runs of another
/// dispatcher hold some. About the duration of a short task.
const NO_CAPACITY_PAUSE: Duration = Duration::from_millis(60);
/// Increment of a task's run number after the upstream refused it as too low: an earlier submission
/// of the job used a higher one.
const NUMBER_INCREMENT: u32 = 16;
/// Number of unanswered orders to stop a run after which the lease of its upstream is no longer
/// renewed, so that the run ends with it.
const MAX_UNANSWERED_STOPS: u32 = 2;
/// Shortest duration whose logarithm is learned, in seconds: the logarithm of zero is infinite.
pub(super) const MIN_LEARNED_S: f64 = 1e-4;

impl Pool {
    /// Handles the answer to an order to start. `clock_ms` is the upstream's clock, if given.
    pub fn on_start_answer(
        &mut self,
        key: RunKey,
        answer: StartAnswer,
        clock_ms: Option<u64>,
        now: Time,
    ) {
        let shared_until = now + self.max_sharing_time();
        let Some(run) = self.runs.get_mut(key) else { return };
        let upstream_key = run.upstream;
        if let (Some(clock_ms), Some(upstream)) = (clock_ms, self.upstreams.get_mut(upstream_key)) {
            upstream.record_clock(clock_ms, now);
            if run.may_have_restarted && clock_ms < run.min_clock_ms {
                upstream.on_other_process(now);
                if !run.has_begun() {
                    run.process_started_ms = None;
                    run.early_failure = None;
                }
                self.log_upstream_state(upstream_key, "another process took an order", now);
            }
        }
        let Some(run) = self.runs.get_mut(key) else { return };
        match answer {
            StartAnswer::Running => {
                run.seen_at = Some(now);
                run.shared_until = run.shared_until.min(shared_until);
                let early_failure = run.early_failure.take();
                // While the run is being stopped, its absence from a list proves nothing before the
                // stop is answered.
                if run.state == RunState::Starting {
                    run.state = RunState::Running;
                    run.absence_proves_end_at = Some(now);
                    run.progressed_at = now;
                }
                if let Some(sequence) = early_failure {
                    self.end_run(key, RunEnd::Failed, now);
                    if let Some(upstream) = self.upstreams.get_mut(upstream_key)
                        && let Some(listed_at) = upstream.unacknowledged_ends.get_mut(&sequence)
                    {
                        *listed_at = Time::ZERO;
                    }
                }
                self.poll_soon(upstream_key, now);
            }
            StartAnswer::NoRoom => {
                self.discard_run(key, 0);
                if let Some(upstream) = self.upstreams.get_mut(upstream_key) {
                    if upstream.foreign.runs.is_empty() {
                        upstream.assume_full(now);
                    } else {
                        upstream.no_starts_until = now + NO_CAPACITY_PAUSE;
                    }
                }
            }
            StartAnswer::OldNumber => self.discard_run(key, NUMBER_INCREMENT),
            StartAnswer::TooLate => self.discard_run(key, 0),
            StartAnswer::Unwell => {
                if let Some(upstream) = self.upstreams.get_mut(upstream_key) {
                    upstream.no_starts_until = now + self.options.retry_backoff;
                }
                self.discard_run(key, 0);
            }
            StartAnswer::Replaced => {
                let sent = run.ordered_at;
                // First, as it can't be lost: nothing was started.
                self.discard_run(key, 0);
                self.on_process_replaced(upstream_key, sent, now);
            }
            StartAnswer::Unsent => {
                self.mark_unresponsive(upstream_key, now);
                self.discard_run(key, 0);
            }
            StartAnswer::Unknown => {
                if run.may_have_restarted {
                    run.unanswered_until = max_lease_expiry(now);
                }
                // Another process would not refuse the ended number, so it may carry the order out.
                let has_failed = run.early_failure.is_some() && !run.may_have_restarted;
                self.mark_unresponsive(upstream_key, now);
                if has_failed {
                    self.end_run(key, RunEnd::Failed, now);
                } else if self.options.stop_unanswered_starts {
                    self.stop(key);
                } else {
                    self.discard_run(key, 0);
                }
            }
        }
        self.place(now);
    }

    /// Handles the answer to an order to stop; `confirmed` tells whether the upstream gave one. If
    /// not, the order is repeated.
    pub fn on_stop_answer(
        &mut self,
        key: RunKey,
        confirmed: bool,
        clock_ms: Option<u64>,
        now: Time,
    ) {
        let Some(run) = self.runs.get_mut(key) else { return };
        let upstream_key = run.upstream;
        if confirmed {
            run.absence_proves_end_at = Some(now + self.options.max_stop_time);
            // The listed end of a run that began completes the poll in flight. A run that never
            // began has no listed end.
            run.poll_for_end = !run.has_begun();
            if let Some(upstream) = self.upstreams.get_mut(upstream_key) {
                if let Some(clock_ms) = clock_ms {
                    upstream.record_clock(clock_ms, now);
                }
                upstream.poll_due = now;
            }
            self.poll(upstream_key, now);
            return;
        }
        run.unanswered_stops += 1;
        let has_max_unanswered_stops = run.unanswered_stops >= MAX_UNANSWERED_STOPS;
        let (task, number) = (run.task.clone(), run.number);
        self.mark_unresponsive(upstream_key, now);
        if has_max_unanswered_stops {
            self.leave_to_expiry(key, "leaves orders to stop a run unanswered", now);
        }
        self.effects.push(Effect::Stop { upstream: upstream_key, run: key, task, number });
    }

    /// Ends the renewals and the starts on the upstream of a run, by its owner as well, until the run is
    /// known to be over. `why` describes the upstream.
    pub(super) fn leave_to_expiry(&mut self, key: RunKey, why: &'static str, now: Time) {
        let Some(run) = self.runs.get_mut(key).filter(|run| run.expiring_since.is_none()) else {
            return;
        };
        run.expiring_since = Some(now);
        let upstream_key = run.upstream;
        if let Some(upstream) = self.upstreams.get_mut(upstream_key) {
            upstream.expiring_runs += 1;
            self.effects.push(Effect::Log(Decision::LeftToExpiry {
                task: run.task.clone(),
                number: run.number,
                upstream: upstream.record.name.clone(),
                why,
                competitor_may_renew: run.competitor_may_renew,
            }));
        }
        self.has_stale_rosters = true;
        self.log_upstream_state(upstream_key, why, now);
    }

    /// Discards a run that never began and never will, so that its task can be started again. Adds
    /// `increment` to the task's run number.
    fn discard_run(&mut self, key: RunKey, increment: u32) {
        let Some(run) = self.remove_run(key) else { return };
        let Some(job) = run.job.and_then(|job| self.jobs.get_mut(job)) else { return };
        let task_state = &mut job.steps[run.task.step as usize][run.task.index as usize];
        task_state.run = None;
        task_state.last_number += increment;
        job.update_backlog();
        // A job whose starts were all refused may be reported as not run.
        let is_unstarted =
            |task: &TaskState| task.run.is_none() && !task.done && task.failures.is_empty();
        if job.steps.iter().flatten().all(is_unstarted) && !job.has_ended_run {
            job.has_started = false;
        }
    }

    /// Removes a run and releases the resources that it holds on its upstream.
    pub(super) fn remove_run(&mut self, key: RunKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        self.runs_by_task.remove(&(run.task.clone(), run.number));
        self.interference.on_discarded(key, run.upstream);
        if let Some(upstream) = self.upstreams.get_mut(run.upstream) {
            upstream.runs.retain(|other| *other != key);
            upstream.used = upstream.used.without(&run.needs);
            upstream.expiring_runs -= usize::from(run.expiring_since.is_some());
        }
        Some(run)
    }

    /// Handles the end of a run.
    pub(super) fn end_run(&mut self, key: RunKey, how: RunEnd, now: Time) {
        self.on_run_ended(key, how, now);
        let Some(run) = self.remove_run(key) else { return };
        self.end_counts[how as usize] += 1;
        let age = now.since(run.ordered_at);
        // A run whose job has ended matters if the end isn't one that the upstream has listed.
        let is_concluded = matches!(how, RunEnd::Expired | RunEnd::Disappeared);
        if how != RunEnd::Done
            && let Some(upstream) = self.upstreams.get(run.upstream)
            && (run.job.is_some() || is_concluded)
        {
            self.effects.push(Effect::Log(Decision::RunEnded {
                task: run.task.clone(),
                number: run.number,
                upstream: upstream.record.name.clone(),
                how: how.name(),
                has_begun: run.has_begun(),
                age,
            }));
        }
        self.learn_from_end(&run, how, now);
        let Some(job_key) = run.job else { return };
        let Some(job) = self.jobs.get_mut(job_key) else { return };
        job.has_ended_run = true;
        let task_state = &mut job.steps[run.task.step as usize][run.task.index as usize];
        task_state.run = None;
        match how {
            RunEnd::Done => {
                task_state.done = true;
                job.update_backlog();
                // The end of a run is learned late from an upstream that hasn't responded meanwhile.
                let upstream = self.upstreams.get(run.upstream);
                if upstream.is_some_and(|upstream| upstream.silent_at <= run.ordered_at) {
                    let log_duration = age.as_secs_f64().max(MIN_LEARNED_S).ln();
                    job.log_durations.push((run.upstream, log_duration));
                }
                if job.is_done() {
                    self.finish(job_key, Outcome::Completed, now);
                }
            }
            RunEnd::Failed if run.has_begun() => {
                let upstream = self.upstreams.get(run.upstream);
                task_state.failures.extend(upstream.map(|upstream| FailedRun {
                    number: run.number,
                    upstream: upstream.record.name.clone(),
                    started_ms: run.process_started_ms,
                    age,
                }));
                task_state.avoid.push(run.upstream);
                let has_failed = task_state.failures.len() >= job.request.max_attempts as usize;
                job.update_backlog();
                if has_failed {
                    let state = &job.steps[run.task.step as usize][run.task.index as usize];
                    let (task, runs) = (run.task.clone(), state.failures.clone());
                    self.effects.push(Effect::Log(Decision::TaskFailed { task, runs }));
                    self.finish(job_key, Outcome::Failed, now);
                }
            }
            // A failure of an earlier submission's run, for all that is known.
            RunEnd::Failed | RunEnd::Stopped | RunEnd::Expired | RunEnd::Disappeared => {
                task_state.avoid.push(run.upstream);
                job.update_backlog();
            }
        }
    }

    /// Ends runs that were lost with their upstream, possibly with several of its processes.
    pub(super) fn lose_runs(
        &mut self,
        key: UpstreamKey,
        runs: Vec<RunKey>,
        cause: LossCause,
        how: RunEnd,
        now: Time,
    ) {
        let jobs: BTreeSet<JobKey> =
            runs.iter().filter_map(|run| self.runs.get(*run)?.job).collect();
        let mut processes: BTreeMap<Option<u64>, Vec<RunKey>> = BTreeMap::new();
        for run in &runs {
            if let Some(started_ms) = self.runs.get(*run).map(|run| run.process_started_ms) {
                processes.entry(started_ms).or_default().push(*run);
            }
        }
        for (started_ms, runs) in processes {
            self.record_loss(key, started_ms, &runs, cause, now);
        }
        for run in runs {
            self.end_run(run, how, now);
        }
        for job in jobs {
            self.check_losses(job, now);
        }
    }

    /// Records the loss of one process of an upstream with these runs.
    fn record_loss(
        &mut self,
        key: UpstreamKey,
        started_ms: Option<u64>,
        runs: &[RunKey],
        cause: LossCause,
        now: Time,
    ) {
        let lost = || runs.iter().filter_map(|run| self.runs.get(*run));
        let tasks: Vec<Task> = lost().map(|run| run.task.clone()).collect();
        let lost_run = |run: &Run| LostRun {
            task: run.task.clone(),
            number: run.number,
            started_ms: run.process_started_ms,
            seen_age: run.seen_at.map(|at| now.since(at)),
        };
        let lost_runs: Vec<LostRun> = lost().map(lost_run).collect();
        self.loss_counts[cause as usize] += tasks.len() as u64;
        let Some(upstream) = self.upstreams.get(key) else { return };
        let age = now.since(upstream.last_answer);
        let upstream = upstream.record.name.clone();
        let loss = Loss { upstream, started_ms, cause, is_doubtful: false, tasks };
        let stopped_with_it = self.count_stopped_with(key, cause);
        // The loss of an unknown process couldn't be taken back when it answers again.
        if cause != LossCause::Left && started_ms.is_some() {
            self.blame_tasks(key, runs, &loss, now);
        }
        let lost = Decision::RunsLost { loss, runs: lost_runs, stopped_with_it, age };
        self.effects.push(Effect::Log(lost));
    }

    /// Handles another dispatcher's report of a loss.
    pub fn on_loss_report(&mut self, loss: &Loss, now: Time) {
        self.quarantine.record_report(loss, now);
        let job = |task: &Task| self.jobs_by_id.get(&task.job).copied();
        let jobs: BTreeSet<JobKey> = loss.tasks.iter().filter_map(job).collect();
        for job in jobs {
            self.check_losses(job, now);
        }
    }

    /// Returns the losses that are remembered, for a host whose process has just started.
    pub fn remembered_losses(&self, now: Time) -> Vec<Loss> {
        self.quarantine.losses(now)
    }

    /// Updates the health and the speed of the upstream from the end of a run.
    fn learn_from_end(&mut self, run: &Run, how: RunEnd, now: Time) {
        let Some(upstream) = self.upstreams.get_mut(run.upstream) else { return };
        match how {
            RunEnd::Done => {
                if upstream.health.succeeded() {
                    self.log_upstream_state(run.upstream, "recovered after ejection", now);
                }
                self.learn_duration(run, now);
            }
            RunEnd::Failed if run.has_begun() => {
                if upstream.health.failed(run.job, now) {
                    self.log_upstream_state(run.upstream, "ejected after failed runs", now);
                }
            }
            RunEnd::Failed | RunEnd::Stopped | RunEnd::Expired | RunEnd::Disappeared => {}
        }
    }

    /// Updates the speed of the upstream and the duration ratio of the class from a completed run.
    fn learn_duration(&mut self, run: &Run, now: Time) {
        let age = now.since(run.ordered_at);
        let Some(job) = run.job.and_then(|job| self.jobs.get(job)) else { return };
        let Some(upstream) = self.upstreams.get_mut(run.upstream) else { return };
        let class = job.request.class.clone();
        let declared = job.request.steps[run.task.step as usize].estimate;
        let log_usual =
            self.durations.expected(&class, declared).as_secs_f64().max(MIN_LEARNED_S).ln();
        let log_taken = age.as_secs_f64().max(MIN_LEARNED_S).ln();
        upstream.speed.adjust_to_expected(log_usual - log_taken, now);
        let log_ratio =
            log_taken + upstream.speed.log() - declared.as_secs_f64().max(MIN_LEARNED_S).ln();
        self.durations.record(&class, log_ratio);
    }

    /// Ends jobs whose entry host can't be reached any more.
    pub fn end_orphaned_jobs(&mut self, jobs: impl IntoIterator<Item = JobKey>, now: Time) {
        if !self.options.end_orphaned_jobs {
            return;
        }
        for job in jobs {
            self.finish(job, Outcome::MayHaveRun("its entry host is gone"), now);
        }
        self.place(now);
    }
}
