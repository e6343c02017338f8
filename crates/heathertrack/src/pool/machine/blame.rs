//! Which tasks are blamed for the loss of an upstream.
//!
//! Addresses the load pattern "a rack loses power, and another one a moment later": the tasks that
//! ran there have no part in it, unlike a task that crashes one upstream after another.

use super::Pool;
use crate::clock::Time;
use crate::pool::job::Id;
use crate::pool::quarantine::Blame;
use crate::pool::run::Run;
use crate::pool::upstream::Upstream;
use crate::pool::{Effect, Loss, LossCause, RunKey, Task, UpstreamKey};
use std::time::Duration;

/// Time within which crashes at one instant are noticed: connections close at once, and are handled
/// as soon as the process has its turn on the CPU.
const CRASH_NOTICE_SPAN: Duration = Duration::from_millis(50);
/// Time within which upstreams that fall silent at one instant are noticed: a poll waits up to
/// 300 ms ([`crate::pool::Options::poll_wait`]), and then for its answer.
const SILENCE_NOTICE_SPAN: Duration = Duration::from_millis(400);
/// Least number of other upstreams that stop together with one if the cause is a common one. A job
/// crashes the upstreams of its own tasks, and two such jobs may do so at the same time.
const MIN_COMMON_STOPS: usize = 2;
/// Number of upstreams for each other one that stops if the cause is a common one. The more
/// upstreams there are, the more unrelated crashes come at the same time. In a smaller pool, all
/// upstreams have to stop: a few may crash under unrelated jobs.
const UPSTREAMS_PER_COMMON_STOP: usize = 10;
/// Replaces [`MIN_COMMON_STOPS`] while tasks are known to crash upstreams. Such tasks are started
/// again together once the leases have expired of upstreams that crashed together.
const MIN_COMMON_STOPS_AMID_CRASHES: usize = 4;
/// Replaces [`UPSTREAMS_PER_COMMON_STOP`] while tasks are known to crash upstreams.
const UPSTREAMS_PER_COMMON_STOP_AMID_CRASHES: usize = 4;

impl Pool {
    /// Returns the other upstreams that stopped responding at the same time as this one, and still
    /// don't respond.
    fn stopped_with(&self, key: UpstreamKey, cause: LossCause) -> impl Iterator<Item = &Upstream> {
        let stopped_at = self.upstreams.get(key).and_then(|upstream| upstream.stopped_at);
        let span = if cause.is_crash() { CRASH_NOTICE_SPAN } else { SILENCE_NOTICE_SPAN };
        let is_close = move |other: Time| {
            stopped_at.is_some_and(|at| other.since(at) <= span && at.since(other) <= span)
        };
        let others = self.upstreams.iter().filter(move |(other, _)| *other != key);
        let others = others.map(|(_, upstream)| upstream);
        others.filter(move |upstream| upstream.unresponsive_since.is_some_and(is_close))
    }

    /// Returns how many other upstreams stopped responding at the same time as this one.
    pub(super) fn count_stopped_with(&self, key: UpstreamKey, cause: LossCause) -> usize {
        self.stopped_with(key, cause).count()
    }

    /// Returns how many other upstreams have to stop together with one for a common cause, such as
    /// the power of a rack or the network.
    fn min_common_stops(&self, now: Time) -> usize {
        let (least, upstreams_per_stop) = if self.quarantine.has_convicted(now) {
            (MIN_COMMON_STOPS_AMID_CRASHES, UPSTREAMS_PER_COMMON_STOP_AMID_CRASHES)
        } else {
            (MIN_COMMON_STOPS, UPSTREAMS_PER_COMMON_STOP)
        };
        let known = self.upstreams.len();
        let others = known.saturating_sub(1).max(1);
        if known < UPSTREAMS_PER_COMMON_STOP {
            return others;
        }
        known.div_ceil(upstreams_per_stop).max(least)
    }

    /// Records what a loss says about the tasks of the lost runs, and reports it to the other
    /// dispatchers.
    pub(super) fn blame_tasks(
        &mut self,
        key: UpstreamKey,
        runs: &[RunKey],
        loss: &Loss,
        now: Time,
    ) {
        for run in runs.iter().filter_map(|run| self.runs.get(*run)) {
            if let Some(job) = run.job.and_then(|job| self.jobs.get_mut(job)) {
                job.steps[run.task.step as usize][run.task.index as usize].losses += 1;
            }
        }
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.has_lost_runs = true;
        }
        let process = (loss.upstream.clone(), loss.started_ms);
        let lost = runs.iter().filter_map(|run| self.runs.get(*run));
        let blamed = |run: &Run| Some((run.task.clone(), self.blame(run, loss.cause, now)?));
        let blamed: Vec<(Task, Blame)> = lost.filter_map(blamed).collect();
        for blame in Blame::ALL {
            let of_blame = blamed.iter().filter(|(_, other)| *other == blame);
            let tasks: Vec<Task> = of_blame.map(|(task, _)| task.clone()).collect();
            if !tasks.is_empty() {
                self.quarantine.record(&process, &tasks, blame, now);
                self.effects.push(Effect::ReportLoss(blame.report(process.clone(), tasks)));
            }
        }
    }

    /// Returns what the loss of a run says about its task; `None` if nothing.
    fn blame(&self, run: &Run, cause: LossCause, now: Time) -> Option<Blame> {
        let stops = self.unrelated_stops(run.upstream, cause, &run.task.job);
        if stops >= self.min_common_stops(now) {
            return None;
        }
        if !cause.is_crash() {
            return run.seen_running.then_some(Blame::Unknown);
        }
        let is_alone =
            |upstream: &Upstream| upstream.runs.len() == 1 && upstream.foreign.runs.is_empty();
        let is_only_suspect = !self.quarantine.is_suspect(&run.task, now)
            || self.upstreams.get(run.upstream).is_some_and(is_alone);
        let is_proven = run.seen_running && stops == 0 && is_only_suspect;
        Some(if is_proven { Blame::Crash } else { Blame::Doubtful })
    }

    /// Returns how many other upstreams stopped at the same time without a run of this job.
    fn unrelated_stops(&self, key: UpstreamKey, cause: LossCause, job: &Id) -> usize {
        let others = self.stopped_with(key, cause);
        others.filter(|upstream| !upstream.stopped_jobs.contains(job)).count()
    }

    /// Takes back the loss of an upstream's process, which has answered again, here and at the other
    /// dispatchers.
    pub(super) fn take_back_loss(&mut self, key: UpstreamKey, started_ms: u64, now: Time) {
        let Some(upstream) = self.upstreams.get(key) else { return };
        let process = (upstream.record.name.clone(), Some(started_ms));
        let tasks = self.quarantine.take_back(&process);
        if tasks.is_empty() {
            return;
        }
        let quarantine = &self.quarantine;
        self.suspects.retain(|task| quarantine.is_suspect(task, now));
        let (upstream, started_ms) = process;
        let cause = LossCause::Left;
        let loss = Loss { upstream, started_ms, cause, is_doubtful: false, tasks };
        self.effects.push(Effect::ReportLoss(loss));
        self.log_upstream_state(key, "runs on after its runs were lost", now);
    }
}
