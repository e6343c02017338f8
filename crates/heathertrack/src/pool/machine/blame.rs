//! Which tasks are blamed for the loss of an upstream.

use super::Pool;
use crate::clock::Time;
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

    /// Records what a loss says about the tasks of the lost runs, and reports it to the other
    /// dispatchers.
    pub(super) fn blame_tasks(&mut self, runs: &[RunKey], loss: &Loss, now: Time) {
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
        if !cause.is_crash() {
            return run.seen_running.then_some(Blame::Unknown);
        }
        let is_alone =
            |upstream: &Upstream| upstream.runs.len() == 1 && upstream.foreign.runs.is_empty();
        let is_only_suspect = !self.quarantine.is_suspect(&run.task, now)
            || self.upstreams.get(run.upstream).is_some_and(is_alone);
        let is_proven = run.seen_running && is_only_suspect;
        Some(if is_proven { Blame::Crash } else { Blame::Doubtful })
    }
}
