//! What the runs of a job tell of the speeds of upstreams.

use super::Pool;
use super::orders::MIN_LEARNED_S;
use crate::clock::Time;
use crate::pool::job::Job;
use crate::pool::run::{Run, RunState};
use crate::pool::speed::{Speed, common_log_work};
use crate::pool::upstream::Upstream;
use crate::pool::{RunKey, UpstreamKey};

/// Factor by which a run takes longer than its siblings, at the learned speeds, from which on its
/// upstream is slower than learned.
const OVERDUE_FACTOR: f64 = 1.6;
/// Least number of ended runs of a job that are compared with each other, or with an overdue one.
const MIN_COMPARED_RUNS: usize = 2;

impl Pool {
    /// Updates the speeds of upstreams from the runs of a job that is done.
    pub(super) fn learn_speeds(&mut self, job: &Job, now: Time) {
        let Some(log_work) = self.common_log_work(job, MIN_COMPARED_RUNS) else { return };
        for (upstream, log_duration) in &job.log_durations {
            self.change_speed(*upstream, now, |speed| {
                speed.adjust_to_siblings(log_work - log_duration, now);
            });
        }
    }

    /// Forgets low speeds that no run has confirmed for a while.
    pub(super) fn forget_speeds(&mut self, now: Time) {
        let upstreams: Vec<UpstreamKey> = self.upstreams.keys().collect();
        for key in upstreams {
            self.change_speed(key, now, |speed| speed.forget(now));
        }
    }

    /// Returns the number of usable upstreams that are far slower than usual.
    pub fn slow_upstreams(&self, now: Time) -> usize {
        let is_slow = |upstream: &&Upstream| upstream.is_usable(now) && upstream.speed.is_slow();
        self.upstreams.values().filter(is_slow).count()
    }

    /// Changes the speed of an upstream, and logs whether it is slow if that has changed.
    fn change_speed(&mut self, key: UpstreamKey, now: Time, change: impl FnOnce(&mut Speed)) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let was_slow = upstream.speed.is_slow();
        change(&mut upstream.speed);
        match (was_slow, upstream.speed.is_slow()) {
            (false, true) => self.log_upstream_state(key, "is far slower than usual", now),
            (true, false) => self.log_upstream_state(key, "is not known to be slow any more", now),
            _ => {}
        }
    }

    /// Lowers the speeds of upstreams where runs take far longer than their ended siblings did.
    ///
    /// Addresses the load pattern "a third of the upstreams turn slow at once": until a run on one of
    /// them has ended, many more tasks would be started there.
    pub(super) fn learn_from_overdue_runs(&mut self, now: Time) {
        let age = |run: &Run| now.since(run.ordered_at);
        let may_be_overdue =
            |(_, run): &(RunKey, &Run)| run.state == RunState::Running && age(run) > run.expected;
        let limit = |(_, run): (RunKey, &Run)| {
            let job = self.jobs.get(run.job?)?;
            let upstream = self.upstreams.get(run.upstream)?;
            let log_work = self.common_log_work(job, MIN_COMPARED_RUNS)?;
            let log_age = age(run).as_secs_f64().ln();
            let is_overdue = log_age > log_work - upstream.speed.log() + OVERDUE_FACTOR.ln();
            let is_known = upstream.unresponsive_since.is_none();
            (is_overdue && is_known).then_some((run.upstream, log_work - log_age))
        };
        let overdue = self.runs.iter().filter(may_be_overdue).filter_map(limit);
        let limits: Vec<(UpstreamKey, f64)> = overdue.collect();
        for (key, max_log_speed) in limits {
            self.change_speed(key, now, |speed| speed.limit(max_log_speed, now));
        }
    }

    /// Returns the natural logarithm of the work that the tasks of a single-step job have in common;
    /// `None` if fewer than `min_ended` runs have ended. The work of a run is its duration times the
    /// speed of its upstream.
    fn common_log_work(&self, job: &Job, min_ended: usize) -> Option<f64> {
        let [step] = &job.request.steps[..] else { return None };
        if job.log_durations.len() < min_ended {
            return None;
        }
        let log_work = |(upstream, log_duration): &(UpstreamKey, f64)| {
            self.upstreams.get(*upstream).map(|upstream| log_duration + upstream.speed.log())
        };
        let log_works = job.log_durations.iter().filter_map(log_work).collect();
        let declared = self.durations.expected(&job.request.class, step.estimate);
        common_log_work(log_works, declared.as_secs_f64().max(MIN_LEARNED_S).ln())
    }
}
