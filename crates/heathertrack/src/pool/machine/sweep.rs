use super::Pool;
use crate::clock::Time;
use crate::pool::run::{Run, State};
use crate::pool::upstream::Ownership;
use crate::pool::{Ended, JobKey, RunKey, UpstreamKey};
use std::time::Duration;

/// Multiple of the expected duration after which a run without progress counts as stalled:
/// estimates are off by some 40%, speeds by less.
const STALL_FACTOR: u32 = 3;
/// Least time without progress after which a run counts as stalled: three polls.
const STALL: Duration = Duration::from_millis(600);

impl Pool {
    /// Handles everything that depends on time alone. Has to be called every few tens of
    /// milliseconds while there are jobs or runs, and at least every second.
    pub fn tick(&mut self, now: Time) {
        self.end_overdue(now);
        self.end_lapsed(now);
        self.check_stopped(now);
        self.stop_stalled(now);
        let due: Vec<UpstreamKey> = self.upstreams.keys().collect();
        for upstream in due {
            self.look(upstream, now);
        }
        self.forget();
        self.place(now);
    }

    /// Refuses jobs that have waited too long, and gives up those whose answer would be too late.
    fn end_overdue(&mut self, now: Time) {
        let keys: Vec<JobKey> = self.jobs.keys().collect();
        for key in keys {
            let Some(job) = self.jobs.get(key) else { continue };
            let waited = now.since(job.request.received);
            if !job.begun && !job.ran && waited > self.patience(&job.request) {
                self.refuse(key, "nothing was free in time", waited, now);
                continue;
            }
            let useless = job.useless(self.options.late_factor);
            if now >= useless {
                self.give_up(key, "its time is over", now);
            } else if useless.since(now) < job.least_left() {
                self.give_up(key, "its time is too short", now);
            }
        }
    }

    /// Ends runs whose lease has expired for certain. Where a competing dispatcher may have renewed
    /// it, only the upstream's lists or the loss of its record show that a run is over.
    fn end_lapsed(&mut self, now: Time) {
        let lapsed = |(_, run): &(RunKey, &Run)| {
            let Some(upstream) = self.upstreams.get(run.upstream) else { return true };
            now > upstream.lease_expiry && (!run.shared || upstream.missing_since.is_some())
        };
        let keys: Vec<RunKey> = self.runs.iter().filter(lapsed).map(|(key, _)| key).collect();
        for key in keys {
            self.ended(key, Ended::Lapsed, now);
        }
    }

    /// Polls upstreams for stopped runs that were never reported as running, once they are settled.
    fn check_stopped(&mut self, now: Time) {
        let due = |run: &&mut Run| run.unchecked && run.settled.is_some_and(|at| at <= now);
        let mut upstreams = Vec::new();
        for run in self.runs.values_mut().filter(due) {
            run.unchecked = false;
            upstreams.push(run.upstream);
        }
        for upstream in upstreams {
            self.look_again(upstream, now);
        }
    }

    /// Stops stalled runs, so that their tasks can be started elsewhere.
    fn stop_stalled(&mut self, now: Time) {
        let stalled = |(_, run): &(RunKey, &Run)| {
            let limit = (run.expected * STALL_FACTOR).max(STALL);
            run.state == State::Running
                && now.since(run.ordered) > limit
                && now.since(run.percent_since) > STALL
        };
        let keys: Vec<RunKey> = self.runs.iter().filter(stalled).map(|(key, _)| key).collect();
        for key in keys {
            let Some(run) = self.runs.get(key) else { continue };
            let upstream_key = run.upstream;
            if let Some(upstream) = self.upstreams.get_mut(upstream_key)
                && upstream.health.stalled(now)
            {
                self.note_upstream_state(upstream_key, "ejected after stalled runs", now);
            }
            self.stop(key);
        }
    }

    /// Sets whether a competing dispatcher may use the same upstreams: a host without a link may be
    /// partitioned and go on dispatching. Returns whether that has changed.
    pub fn set_rivals(&mut self, has_rivals: bool) -> bool {
        let has_changed = self.has_rivals != has_rivals;
        self.has_rivals = has_rivals;
        if has_changed && has_rivals {
            // Runs that are started later are marked as shared from the outset.
            self.runs.values_mut().for_each(|run| run.shared = true);
        }
        has_changed
    }

    /// Gives up all jobs.
    pub fn give_up_all(&mut self, why: &'static str, now: Time) {
        let jobs: Vec<JobKey> = self.jobs.keys().collect();
        for job in jobs {
            self.give_up(job, why, now);
        }
    }

    /// Handles a suspension of this process for longer than its leases. Runs whose lease no other
    /// dispatcher can have renewed are over, and all jobs are given up.
    pub fn resumed(&mut self, now: Time) {
        let own = |(_, run): &(RunKey, &Run)| !run.shared;
        let runs: Vec<RunKey> = self.runs.iter().filter(own).map(|(key, _)| key).collect();
        for run in runs {
            self.ended(run, Ended::Lapsed, now);
        }
        self.give_up_all("this host was suspended", now);
        for upstream in self.upstreams.values_mut() {
            upstream.clock = None;
            upstream.poll_due = now;
            upstream.ownership = match upstream.ownership {
                Ownership::Owned => Ownership::Acquiring,
                other => other,
            };
            upstream.foreign.since = None;
        }
    }
}
