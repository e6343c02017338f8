use super::Pool;
use crate::clock::Time;
use crate::membership::links::{FAST_HEARTBEAT_PERIOD, heartbeat_timeout};
use crate::pool::job::Job;
use crate::pool::run::{Run, RunState};
use crate::pool::upstream::{Ownership, SLOW_CLOCK_FACTOR, Upstream};
use crate::pool::{JobKey, LossCause, RunEnd, RunKey, UpstreamKey};
use std::collections::BTreeMap;
use std::time::Duration;

/// Multiple of its expected duration after which a run can count as stalled: estimates are off by
/// some 40%, speeds by less.
const STALL_FACTOR: u32 = 3;
/// Least age of a stalled run, and least time for which it has made no progress. A poll of a busy
/// upstream waits at most 300 ms (`Options::poll_wait`), so this time holds three polls: at 0, 300
/// and 600 ms.
const MIN_STALL: Duration = Duration::from_millis(600);

/// Time for which a dispatcher may be without upstreams while hosts that come and go settle on a new
/// assignment.
const MAX_UNASSIGNED_TIME: Duration = Duration::from_millis(300);

/// Number of runs of one task that may stall before its job is given up. An upstream that stalls all its
/// runs may have had no other one that would show it, and another such upstream may follow.
const MAX_STALLS: u32 = 3;

impl Pool {
    /// Handles everything that depends on time alone. It has to be called every few tens of
    /// milliseconds while there are jobs or runs, and at least every second.
    pub fn tick(&mut self, now: Time) {
        self.end_overdue_jobs(now);
        self.abandon_unreachable_runs(now);
        self.end_expired_runs(now);
        self.end_stranded_jobs(now);
        self.end_displaced_jobs(now);
        self.poll_for_stopped(now);
        self.stop_stalled_runs(now);
        self.upstreams.values_mut().for_each(|upstream| upstream.restore_capacity(now));
        self.forget_speeds(now);
        self.learn_from_overdue_runs(now);
        let upstreams: Vec<UpstreamKey> = self.upstreams.keys().collect();
        for upstream in upstreams {
            self.poll(upstream, now);
        }
        self.remove_released();
        self.place(now);
    }

    /// Refuses jobs that have waited too long, and gives up those whose answer would be too late.
    fn end_overdue_jobs(&mut self, now: Time) {
        let keys: Vec<JobKey> = self.jobs.keys().collect();
        for key in keys {
            let Some(job) = self.jobs.get(key) else { continue };
            let waited = now.since(job.request.received);
            if !job.has_started && !job.has_ended_run && waited > self.max_start_wait(&job.request)
            {
                self.refuse(key, "nothing was free in time", waited, now);
                continue;
            }
            let give_up_at = job.give_up_at(self.options.late_factor);
            if now >= give_up_at {
                self.give_up(key, "its time is over", now);
            } else if give_up_at.since(now) < job.min_time_left() {
                self.give_up(key, "its time is too short", now);
            }
        }
    }

    /// Ends jobs of which nothing runs once all upstreams have passed to other dispatchers: another one
    /// can run them. While a run of a job goes on, its queued tasks wait for the upstreams to return.
    fn end_stranded_jobs(&mut self, now: Time) {
        let is_assigned = |upstream: &Upstream| upstream.ownership != Ownership::Released;
        if self.jobs.is_empty() || self.upstreams.values().any(is_assigned) {
            self.unassigned_since = None;
            return;
        }
        let since = *self.unassigned_since.get_or_insert(now);
        if now.since(since) < MAX_UNASSIGNED_TIME {
            return;
        }
        let is_idle =
            |(_, job): &(JobKey, &Job)| job.steps.iter().flatten().all(|task| task.run.is_none());
        let stranded: Vec<JobKey> = self.jobs.iter().filter(is_idle).map(|(key, _)| key).collect();
        for key in stranded {
            let Some(job) = self.jobs.get(key) else { continue };
            if job.has_started || job.has_ended_run {
                self.give_up(key, "its upstreams have passed to another dispatcher", now);
            } else {
                let why = "the upstreams have passed to another dispatcher";
                self.refuse(key, why, Duration::ZERO, now);
            }
        }
    }

    /// Leaves runs to the expiry of their lease that another dispatcher may renew on upstreams which
    /// have lost their record and don't answer. An upstream without a record that answers runs on: it
    /// may be partitioned from the store alone.
    fn abandon_unreachable_runs(&mut self, now: Time) {
        let lease = self.options.lease.mul_f64(SLOW_CLOCK_FACTOR);
        let is_unreachable = |(_, run): &(RunKey, &Run)| {
            let upstream = self.upstreams.get(run.upstream);
            run.competitor_may_renew
                && run.expiring_since.is_none()
                && upstream.is_some_and(|upstream| {
                    upstream.missing_since.is_some()
                        && upstream.unresponsive_since.is_some()
                        && now.since(upstream.last_answer) > lease
                })
        };
        let runs: Vec<RunKey> =
            self.runs.iter().filter(is_unreachable).map(|(key, _)| key).collect();
        for run in runs {
            self.leave_to_expiry(run, "has no record and does not respond", now);
        }
    }

    /// Ends runs whose lease has expired for certain. Where a competing dispatcher may have renewed
    /// it, only the upstream's lists show that a run is over, or the time for which it has been left to
    /// its expiry on an upstream without a record.
    fn end_expired_runs(&mut self, now: Time) {
        // By then the holder of the roster knows of the change, or has lost the link and dropped the
        // roster.
        let max_roster_delay = heartbeat_timeout(FAST_HEARTBEAT_PERIOD);
        let max_renewal_time = max_roster_delay + self.max_sharing_time();
        let is_expired = |(_, run): &(RunKey, &Run)| {
            let Some(upstream) = self.upstreams.get(run.upstream) else { return true };
            let is_abandoned = || {
                upstream.missing_since.is_some()
                    && run.expiring_since.is_some_and(|since| now.since(since) > max_renewal_time)
            };
            let last_expiry = upstream.lease_expiry.max(upstream.former_owner_until);
            now > last_expiry.max(run.shared_until).max(run.unanswered_until)
                && (!run.competitor_may_renew || is_abandoned())
        };
        let mut expired: BTreeMap<UpstreamKey, Vec<RunKey>> = BTreeMap::new();
        for (key, run) in self.runs.iter().filter(is_expired) {
            expired.entry(run.upstream).or_default().push(key);
        }
        for (upstream, runs) in expired {
            let cause = self.upstreams.get(upstream).map_or(LossCause::Left, Upstream::loss_cause);
            self.lose_runs(upstream, runs, cause, RunEnd::Expired, now);
        }
    }

    /// Polls upstreams for stopped runs that were never reported as running, once their absence
    /// from a list proves that they are over.
    fn poll_for_stopped(&mut self, now: Time) {
        let is_due = |run: &&mut Run| {
            run.poll_for_end && run.absence_proves_end_at.is_some_and(|at| at <= now)
        };
        let mut upstreams = Vec::new();
        for run in self.runs.values_mut().filter(is_due) {
            run.poll_for_end = false;
            upstreams.push(run.upstream);
        }
        for upstream in upstreams {
            self.poll_at_once(upstream, now);
        }
    }

    /// Stops stalled runs, so that their tasks can be started elsewhere. While an upstream doesn't
    /// respond, nothing is known of the progress there.
    fn stop_stalled_runs(&mut self, now: Time) {
        let is_stalled = |(_, run): &(RunKey, &Run)| {
            let upstream = self.upstreams.get(run.upstream);
            if upstream.is_none_or(|upstream| upstream.unresponsive_since.is_some()) {
                return false;
            }
            let limit = (run.expected * STALL_FACTOR).max(MIN_STALL);
            run.state == RunState::Running
                && now.since(run.ordered_at) > limit
                && now.since(run.progressed_at) > MIN_STALL
        };
        let keys: Vec<RunKey> = self.runs.iter().filter(is_stalled).map(|(key, _)| key).collect();
        for key in keys {
            let Some(run) = self.runs.get(key) else { continue };
            let (upstream_key, job_key) = (run.upstream, run.job);
            let stalls_others = self.stalls_other_jobs(key, now);
            let stalls = if stalls_others { 0 } else { self.count_stall(key) };
            // A task that stalls on one upstream after another is itself the cause.
            if stalls <= 1
                && let Some(upstream) = self.upstreams.get_mut(upstream_key)
                && upstream.health.stalled(now)
            {
                self.log_upstream_state(upstream_key, "ejected after stalled runs", now);
            }
            self.stop(key);
            if let Some(job_key) = job_key.filter(|_| stalls >= MAX_STALLS) {
                self.give_up(job_key, "a task stalls wherever it runs", now);
            }
        }
    }

    /// Returns whether the upstream of a stalled run stalls the runs of other jobs as well, so that the
    /// run says nothing about its task. Runs that have just started show nothing.
    fn stalls_other_jobs(&self, key: RunKey, now: Time) -> bool {
        let Some(stalled) = self.runs.get(key) else { return false };
        let Some(upstream) = self.upstreams.get(stalled.upstream) else { return false };
        let others = upstream.runs.iter().filter_map(|run| self.runs.get(*run));
        let mut others = others
            .filter(|run| run.task.job != stalled.task.job)
            .filter(|run| now.since(run.ordered_at) > MIN_STALL)
            .peekable();
        others.peek().is_some() && others.all(|run| now.since(run.progressed_at) > MIN_STALL)
    }

    /// Counts a stalled run of a task, and returns how many of its runs have stalled.
    fn count_stall(&mut self, key: RunKey) -> u32 {
        let Some(run) = self.runs.get(key) else { return 0 };
        let Some(job) = run.job.and_then(|job| self.jobs.get_mut(job)) else { return 0 };
        let task = &mut job.steps[run.task.step as usize][run.task.index as usize];
        task.stalls += 1;
        task.stalls
    }

    /// Sets whether a competing dispatcher may use the same upstreams: a host without a link may be
    /// partitioned and go on dispatching. Returns whether that has changed.
    pub fn set_has_competitors(&mut self, has_competitors: bool) -> bool {
        let has_changed = self.has_competitors != has_competitors;
        self.has_competitors = has_competitors;
        if has_changed && has_competitors {
            // Runs that are started later are marked on their start.
            self.runs.values_mut().for_each(|run| run.competitor_may_renew = true);
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
    pub fn on_resume(&mut self, now: Time) {
        let is_over = |(_, run): &(RunKey, &Run)| !run.competitor_may_renew;
        let runs: Vec<RunKey> = self.runs.iter().filter(is_over).map(|(key, _)| key).collect();
        for run in runs {
            self.end_run(run, RunEnd::Expired, now);
        }
        self.give_up_all("this host was suspended", now);
        self.on_start(now);
        self.handovers.clear();
        self.rosters.clear();
        for upstream in self.upstreams.values_mut() {
            upstream.clock = None;
            upstream.poll_due = now;
            upstream.ownership = match upstream.ownership {
                Ownership::Owned => Ownership::Acquiring,
                other => other,
            };
            upstream.foreign.listed_since = None;
            upstream.foreign.inherited.clear();
            upstream.foreign.inherits_until = Time::ZERO;
        }
        let upstreams: Vec<UpstreamKey> = self.upstreams.keys().collect();
        for upstream in upstreams {
            self.find_strays(upstream);
        }
    }
}
