//! Which tasks are blamed for the loss of an upstream.
//!
//! Addresses the load pattern "a rack loses power, and another one a moment later": the tasks that
//! ran there have no part in it, unlike a task that crashes one upstream after another.

use super::Pool;
use crate::clock::Time;
use crate::pool::quarantine::Blame;
use crate::pool::run::Run;
use crate::pool::upstream::Upstream;
use crate::pool::{Decision, Effect, Loss, LossCause, RunKey, Task, UpstreamKey};
use std::time::Duration;

/// Time within which crashes at one instant are noticed: connections close at once, and are handled
/// as soon as the process has its turn on the CPU.
const CRASH_NOTICE_SPAN: Duration = Duration::from_millis(50);
/// Time within which upstreams that fall silent at one instant are noticed: a poll waits up to
/// 300 ms ([`crate::pool::Options::poll_wait`]), and then for its answer.
const SILENCE_NOTICE_SPAN: Duration = Duration::from_millis(400);

/// Numbers of other upstreams that have to stop together with one if the cause is a common one, such
/// as the power of a rack or the network.
#[derive(Clone, Copy, Debug)]
struct CommonStops {
    /// Least number in a large pool, where unrelated jobs may crash some upstreams at once.
    least: usize,
    /// Greatest number, that of a rack.
    most: usize,
    /// Number of upstreams for each one of them.
    upstreams_per_stop: usize,
}

/// Usual numbers: two jobs that crash their upstreams may do so at the same time.
const COMMON_STOPS: CommonStops = CommonStops { least: 2, most: 6, upstreams_per_stop: 10 };
/// Numbers while tasks are known to crash upstreams. Such tasks are started again in step once the
/// leases of upstreams have expired that crashed together.
const COMMON_STOPS_AMID_CRASHES: CommonStops =
    CommonStops { least: 4, most: 12, upstreams_per_stop: 4 };
/// Number of known upstreams below which all of them have to stop: unrelated crashes may hit a large
/// part of a small pool.
const SMALL_POOL: usize = 10;

/// Interval between polls of the idle upstreams after one has stopped. They are polled rarely
/// otherwise, and would hide that many stopped at once.
const NEIGHBOUR_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of idle upstreams that are polled after one has stopped.
const MAX_NEIGHBOUR_POLLS: usize = 16;

impl Pool {
    /// Polls idle upstreams after one with runs has stopped, so that it is known whether they have
    /// stopped together with it.
    pub(super) fn poll_idle_neighbours(&mut self, key: UpstreamKey, now: Time) {
        let is_first = |upstream: &Upstream| {
            upstream.unresponsive_since.is_none() && !upstream.runs.is_empty()
        };
        if now < self.neighbours_polled_until || !self.upstreams.get(key).is_some_and(is_first) {
            return;
        }
        self.neighbours_polled_until = now + NEIGHBOUR_POLL_INTERVAL;
        let idle = self.upstreams.iter().filter(|(other, upstream)| {
            *other != key && upstream.is_sound(now) && upstream.runs.is_empty()
        });
        let idle: Vec<UpstreamKey> = idle.map(|(key, _)| key).take(MAX_NEIGHBOUR_POLLS).collect();
        for key in idle {
            self.poll_soon(key, now);
        }
    }

    /// Returns the other upstreams whose processes stopped responding at the same time as this one.
    fn stopped_with(&self, key: UpstreamKey, cause: LossCause) -> impl Iterator<Item = &Upstream> {
        let stopped_at = self.upstreams.get(key).and_then(|upstream| upstream.stopped_at);
        let span = if cause.is_crash() { CRASH_NOTICE_SPAN } else { SILENCE_NOTICE_SPAN };
        let is_close = move |other: Time| {
            stopped_at.is_some_and(|at| other.since(at) <= span && at.since(other) <= span)
        };
        let others = self.upstreams.iter().filter(move |(other, _)| *other != key);
        let others = others.map(|(_, upstream)| upstream);
        others.filter(move |upstream| upstream.stopped_at.is_some_and(is_close))
    }

    /// Returns how many other upstreams stopped responding at the same time as this one.
    pub(super) fn count_stopped_with(&self, key: UpstreamKey, cause: LossCause) -> usize {
        self.stopped_with(key, cause).count()
    }

    /// Returns how many other upstreams have to stop together with one for a common cause.
    fn min_common_stops(&self, now: Time) -> usize {
        let is_amid_crashes = self.quarantine.has_convicted(now);
        let stops = if is_amid_crashes { COMMON_STOPS_AMID_CRASHES } else { COMMON_STOPS };
        let known = self.upstreams.len();
        if known < SMALL_POOL {
            return known.saturating_sub(1).max(1);
        }
        known.div_ceil(stops.upstreams_per_stop).clamp(stops.least, stops.most)
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
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.lost_runs_at = Some(now);
        }
        let process = (loss.upstream.clone(), loss.started_ms);
        let lost = runs.iter().filter_map(|run| self.runs.get(*run));
        let blamed = |run: &Run| (run.task.clone(), self.blame(run, loss.cause, now));
        let blamed: Vec<(Task, Blame)> = lost.map(blamed).collect();
        for blame in Blame::ALL {
            let of_blame = blamed.iter().filter(|(_, other)| *other == blame);
            let tasks: Vec<Task> = of_blame.map(|(task, _)| task.clone()).collect();
            if !tasks.is_empty() {
                self.quarantine.record(&process, &tasks, blame, now);
                self.effects.push(Effect::ReportLoss(blame.report(process.clone(), tasks)));
            }
        }
    }

    /// Returns what the loss of a run says about its task.
    fn blame(&self, run: &Run, cause: LossCause, now: Time) -> Blame {
        let is_alone = self
            .upstreams
            .get(run.upstream)
            .is_some_and(|upstream| upstream.runs.len() == 1 && upstream.foreign.runs.is_empty());
        // A task that was lost in step with others before is judged by a crash under its run alone.
        let is_test = cause.is_crash() && is_alone && self.quarantine.is_in_step(&run.task);
        let stops = self.unrelated_stops(run, cause);
        if !is_test && stops >= self.min_common_stops(now) {
            Blame::Common
        } else if cause.is_crash() {
            Blame::Crash
        } else {
            Blame::Unknown
        }
    }

    /// Returns how many other upstreams stopped at the same time and are not explained by the job of
    /// a lost run. The job may have crashed those where its tasks ran, unless some of its tasks are
    /// done, or go on elsewhere.
    fn unrelated_stops(&self, run: &Run, cause: LossCause) -> usize {
        let responds = |key: UpstreamKey| {
            self.upstreams.get(key).is_some_and(|upstream| upstream.unresponsive_since.is_none())
        };
        let goes_on = |run: &RunKey| {
            self.runs.get(*run).is_some_and(|run| run.has_begun() && responds(run.upstream))
        };
        let job = run.job.and_then(|job| self.jobs.get(job));
        let is_harmless = job.is_some_and(|job| {
            let mut tasks = job.steps.iter().flatten();
            tasks.any(|task| task.done || task.run.as_ref().is_some_and(goes_on))
        });
        let others = self.stopped_with(run.upstream, cause);
        let is_unrelated =
            |other: &&Upstream| is_harmless || !other.stopped_jobs.contains(&run.task.job);
        others.filter(is_unrelated).count()
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
        self.effects.push(Effect::Log(Decision::LossTakenBack { loss: loss.clone() }));
        self.effects.push(Effect::ReportLoss(loss));
        self.log_upstream_state(key, "runs on after its runs were lost", now);
    }
}
