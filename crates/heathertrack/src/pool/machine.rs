//! State machine of a dispatcher.

mod admit;
mod blame;
mod evacuate;
mod isolate;
mod listings;
mod neighbours;
mod orders;
mod place;
mod speeds;
mod sweep;
mod upstreams;

use super::cancellations::Cancellations;
use super::durations::Durations;
use super::interference::Interference;
use super::job::{Id, Job, Outcome, Request};
use super::order::Rank;
use super::quarantine::Quarantine;
use super::roster::Rosters;
use super::run::{Run, RunState};
use super::search::Holding;
use super::shortage::Shortage;
use super::upstream::{Ownership, SLOW_CLOCK_FACTOR, Upstream};
use super::{
    Decision, Effect, JobKey, Load, LossCause, Options, RunEnd, RunKey, Task, UpstreamKey,
};
use crate::clock::Time;
use crate::name;
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// State of one dispatcher: its jobs, its upstreams and the runs on them.
#[derive(Debug, Default)]
pub struct Pool {
    options: Options,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    upstreams_by_name: BTreeMap<name::Upstream, UpstreamKey>,
    jobs: SlotMap<JobKey, Job>,
    jobs_by_id: BTreeMap<Id, JobKey>,
    runs: SlotMap<RunKey, Run>,
    /// Runs by task and run number.
    runs_by_task: BTreeMap<(Task, u32), RunKey>,
    durations: Durations,
    interference: Interference,
    /// Number of tasks that were started apart from others.
    kept_apart: u64,
    /// Number of ended runs for each variant of [`RunEnd`], in declaration order.
    end_counts: [u64; 5],
    quarantine: Quarantine,
    cancellations: Cancellations,
    shortage: Shortage,
    /// Cancelled jobs whose outcome is reported once their runs have ended.
    ending: Vec<EndingJob>,
    /// Suspect tasks of jobs in progress, which are started apart from the others.
    suspects: BTreeSet<Task>,
    /// Number of runs lost with their upstream for each variant of [`LossCause`], in declaration
    /// order.
    loss_counts: [u64; LossCause::ALL.len()],
    /// Until this instant, no further upstreams are polled because one has stopped.
    neighbours_polled_until: Time,
    /// Until this instant, polls use [`Options::short_poll_wait`].
    short_polls_until: Time,
    /// Upstreams that a live dispatcher of an earlier release has handed over before they were
    /// assigned to this one, with the time of the message.
    handovers: BTreeMap<name::Upstream, Time>,
    /// Runs that other live hosts follow.
    rosters: Rosters,
    /// Whether the rosters that other hosts have from this one hold runs that have to expire.
    has_stale_rosters: bool,
    /// Until this instant, a host that was lost may have left runs that no list has shown yet.
    doubt_until: Time,
    /// Until this instant, leases may keep runs alive that the process on this host started before it
    /// was replaced or suspended, and that it doesn't know of any more.
    former_runs_until: Time,
    /// Since when no upstream is assigned to this dispatcher, if none is.
    unassigned_since: Option<Time>,
    /// Data centres that the operators have evacuated.
    evacuated: BTreeSet<name::DataCentre>,
    /// Whether a competing dispatcher may use the same upstreams.
    has_competitors: bool,
    /// Whether there are other hosts that may have owned an upstream which passes to this dispatcher.
    has_peers: bool,
    /// Sequence number of the last submitted job.
    last_sequence: u64,
    /// Effects that the owner of the pool has not taken yet.
    effects: Vec<Effect>,
}

/// A cancelled job with runs that are being stopped.
#[derive(Debug)]
struct EndingJob {
    key: JobKey,
    id: Id,
    in_time: bool,
}

impl Pool {
    /// Creates a dispatcher without upstreams.
    pub fn new(options: Options) -> Self {
        Pool { options, ..Pool::default() }
    }

    /// Handles the start of this process. The one that ran on this host before may have left runs, which
    /// end with their leases.
    pub fn on_start(&mut self, now: Time) {
        self.former_runs_until = now + self.options.lease.mul_f64(SLOW_CLOCK_FACTOR);
    }

    /// Removes and returns the pending effects, which the owner of the pool has to carry out.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.report_ended_jobs();
        std::mem::take(&mut self.effects)
    }

    /// Reports the outcome of cancelled jobs whose runs have ended.
    fn report_ended_jobs(&mut self) {
        for job in std::mem::take(&mut self.ending) {
            if self.follows_runs_of(&job.id) {
                self.ending.push(job);
                continue;
            }
            let EndingJob { key, id, in_time } = job;
            self.effects.push(Effect::Finish {
                job: key,
                id,
                outcome: Outcome::Cancelled,
                in_time,
            });
        }
    }

    /// Returns whether no job is in progress and no run is left to follow to its end. A run whose
    /// job has ended doesn't count if another dispatcher may keep it alive on an upstream that doesn't
    /// respond.
    pub fn is_idle(&self) -> bool {
        let is_silent = |upstream: &Upstream| upstream.unresponsive_since.is_some();
        let is_ignored = |run: &Run| {
            run.competitor_may_renew
                && run.job.is_none()
                && self.upstreams.get(run.upstream).is_none_or(is_silent)
        };
        self.jobs.is_empty() && self.runs.values().all(is_ignored)
    }

    /// Submits a job. Its outcome is reported as [`Effect::Finish`], possibly at once.
    ///
    /// An earlier submission with the same identifier is ended: its caller is gone, or it would not
    /// have sent the job again. While runs of the earlier submission are left, the new one is given
    /// up as well, so that no task runs twice at the same time; its caller may send it again. A job
    /// that was cancelled a short time ago stays cancelled.
    pub fn submit(&mut self, request: Request, now: Time) -> JobKey {
        if let Some(earlier) = self.jobs_by_id.get(&request.id).copied() {
            self.finish(earlier, Outcome::MayHaveRun("submitted again"), now);
        }
        let has_leftover_runs = self.has_runs_of(&request.id);
        self.last_sequence += 1;
        let id = request.id.clone();
        let job = Job::new(request, self.last_sequence);
        let load = self.load(now);
        let ahead = self.work_ahead(&job, now);
        let refusal = self.refusal(&job, &load, ahead, now);
        let refusal = refusal.or_else(|| self.shortage_refusal(&job, &load, now));
        let submitted = Decision::Submitted { job: id.clone(), load, ahead };
        self.effects.push(Effect::Log(submitted));
        let key = self.jobs.insert(job);
        self.jobs_by_id.insert(id, key);
        match refusal {
            _ if self.is_cancelled(&self.jobs[key].request.id, now) => {
                self.finish(key, Outcome::Cancelled, now);
            }
            _ if has_leftover_runs => self.give_up(key, "an earlier submission still runs", now),
            _ if self.check_losses(key, now) => {}
            Some((why, expected)) => self.refuse(key, why, expected, now),
            None => self.place(now),
        }
        key
    }

    /// Returns whether a run of the job is left: one that this dispatcher started, or one that its
    /// upstreams have listed.
    fn has_runs_of(&self, job: &Id) -> bool {
        let foreign =
            |upstream: &Upstream| upstream.foreign.runs.iter().any(|(task, _)| task.job == *job);
        self.follows_runs_of(job) || self.upstreams.values().any(foreign)
    }

    /// Returns whether this dispatcher follows a run of the job.
    fn follows_runs_of(&self, job: &Id) -> bool {
        let first = Task { job: job.clone(), occurrence: 0, step: 0, index: 0 };
        let mut from_first = self.runs_by_task.range((first, 0)..);
        from_first.next().is_some_and(|((task, _), _)| task.job == *job)
    }

    /// Ends a job whose caller has disconnected.
    pub fn cancel(&mut self, job: JobKey, now: Time) {
        self.finish(job, Outcome::MayHaveRun("its caller has disconnected"), now);
        self.place(now);
    }

    /// Cancels the job with this identifier, if there is one, and remembers that it was cancelled,
    /// so that it isn't started if it is submitted later. Returns what was known of it.
    pub fn cancel_by_id(&mut self, id: &Id, now: Time) -> Holding {
        let is_remembered = self.cancellations.record(id, Duration::MAX, now);
        let has_runs = self.follows_runs_of(id);
        if let Some(job) = self.jobs_by_id.get(id).copied() {
            self.finish(job, Outcome::Cancelled, now);
            self.place(now);
        } else if !has_runs {
            // Runs of the former process need not be listed yet.
            let may_run = self.lists_foreign_runs(id, now) || now < self.former_runs_until;
            return if may_run || !is_remembered { Holding::Unknown } else { Holding::Absent };
        }
        if is_remembered { Holding::Held } else { Holding::Unknown }
    }

    /// Returns whether an upstream of this dispatcher lists runs of a job that another dispatcher
    /// started. Such upstreams are polled soon, as their lists may be seconds old.
    fn lists_foreign_runs(&mut self, id: &Id, now: Time) -> bool {
        // The lists of upstreams that this dispatcher has released are never renewed.
        let lists_it = |(_, upstream): &(UpstreamKey, &Upstream)| {
            upstream.ownership != Ownership::Released
                && upstream.foreign.runs.iter().any(|(task, _)| task.job == *id)
        };
        let listing: Vec<UpstreamKey> =
            self.upstreams.iter().filter(lists_it).map(|(key, _)| key).collect();
        for key in &listing {
            self.poll_soon(*key, now);
        }
        !listing.is_empty()
    }

    /// Returns whether a job was cancelled a short time ago.
    pub fn is_cancelled(&self, id: &Id, now: Time) -> bool {
        self.cancellations.contains(id, now)
    }

    /// Returns the jobs that were cancelled a short time ago, each with the time for which that is
    /// still remembered.
    pub fn remembered_cancellations(&self, now: Time) -> Vec<(Id, Duration)> {
        let remembered = self.cancellations.iter(now);
        remembered.map(|(id, remaining)| (id.clone(), remaining)).collect()
    }

    /// Cancels a job that was cancelled at another host. `remaining` is the time for which that host
    /// still remembers it.
    pub fn on_cancellation(&mut self, id: &Id, remaining: Duration, now: Time) {
        // Without room to remember it, the job is still ended if it is here.
        self.cancellations.record(id, remaining, now);
        if let Some(job) = self.jobs_by_id.get(id).copied() {
            self.finish(job, Outcome::Cancelled, now);
            self.place(now);
        }
    }

    /// Returns whether a job is in progress.
    pub fn has_jobs(&self) -> bool {
        !self.jobs.is_empty()
    }

    /// Returns the core-seconds of queued tasks that are started before those of `job`.
    fn work_ahead(&self, job: &Job, now: Time) -> f64 {
        let rank = self.rank(job, now);
        let before = self.jobs.values().filter(|other| self.rank(other, now) < rank);
        before.map(Job::queued_work).sum()
    }

    fn rank(&self, job: &Job, now: Time) -> Rank {
        self.options.order.rank(job, self.options.prompt_wait_share, now)
    }

    fn refuse(&mut self, key: JobKey, why: &'static str, expected: Duration, now: Time) {
        let Some(job) = self.jobs.get(key) else { return };
        let waited = now.since(job.request.received);
        let id = job.request.id.clone();
        self.effects.push(Effect::Log(Decision::Refused { job: id, why, waited, expected }));
        let retry_after = expected.max(waited);
        self.finish(key, Outcome::NotRun { retry_after, why }, now);
    }

    fn give_up(&mut self, key: JobKey, why: &'static str, now: Time) {
        let Some(job) = self.jobs.get(key) else { return };
        let (id, age) = (job.request.id.clone(), now.since(job.request.received));
        self.effects.push(Effect::Log(Decision::GivenUp { job: id, why, age }));
        self.finish(key, Outcome::MayHaveRun(why), now);
    }

    /// Gives up a job if one of its tasks must not be started again, as upstreams were lost under it,
    /// and notes which of its tasks are suspects otherwise. Returns whether the job has ended.
    fn check_losses(&mut self, key: JobKey, now: Time) -> bool {
        let Some(job) = self.jobs.get(key) else { return false };
        self.suspects.extend(self.quarantine.suspects(&job.request.id, now));
        let blocked = self.quarantine.blocked_task(&job.request.id, now);
        let Some(task) = blocked.cloned() else { return false };
        let crashes = self.quarantine.count_crashes(&task);
        let evidence = self.quarantine.evidence(&task, now);
        self.effects.push(Effect::Log(Decision::TaskQuarantined { task, crashes, evidence }));
        self.give_up(key, "too many upstreams were lost under a task", now);
        true
    }

    /// Removes a job, stops its runs and reports its outcome. That of a cancelled job is reported once
    /// its runs have ended.
    fn finish(&mut self, key: JobKey, outcome: Outcome, now: Time) {
        let Some(job) = self.jobs.remove(key) else { return };
        if self.jobs_by_id.get(&job.request.id) == Some(&key) {
            self.jobs_by_id.remove(&job.request.id);
        }
        let runs: Vec<RunKey> = job.steps.iter().flatten().filter_map(|task| task.run).collect();
        for run in runs {
            if let Some(run) = self.runs.get_mut(run) {
                run.job = None;
            }
            self.stop(run);
        }
        self.learn_neighbours(key, outcome == Outcome::Completed, now);
        if outcome == Outcome::Completed {
            self.learn_speeds(&job, now);
        }
        let in_time = now <= job.due();
        let id = job.request.id.clone();
        if outcome == Outcome::Cancelled {
            self.ending.push(EndingJob { key, id, in_time });
        } else {
            self.effects.push(Effect::Finish { job: key, id, outcome, in_time });
        }
    }

    /// Returns the load that entry hosts use to route jobs.
    pub fn load(&self, now: Time) -> Load {
        let mut load = Load::default();
        let mean_cpu = self.mean_cpu();
        for upstream in self.upstreams.values() {
            if upstream.is_evacuated {
                continue;
            }
            let weighted_millicore = upstream.speed.factor() / 1_000.0;
            // Nothing can be started on a contested upstream until it is free again, but then it is
            // free as a whole.
            if self.is_contested(upstream, now) {
                let cores = f64::from(upstream.capacity.cpu) * weighted_millicore;
                load.cores += cores;
                load.busy_cores += cores;
            }
            if !upstream.is_usable(now) {
                continue;
            }
            load.cores += f64::from(upstream.capacity.cpu) * weighted_millicore;
            load.busy_cores += f64::from(upstream.used.cpu) * weighted_millicore;
            if upstream.accepts_starts(now) {
                let slots = upstream.free().cpu / mean_cpu;
                load.free_slots = load.free_slots.saturating_add(slots);
            }
        }
        for job in self.jobs.values() {
            load.queued_core_seconds += job.queued_work();
            load.queued_jobs += u32::from(!job.has_started);
        }
        load
    }

    /// Returns the mean CPU of the current runs, in thousandths of a core; one core without runs.
    fn mean_cpu(&self) -> u32 {
        let total: u64 = self.runs.values().map(|run| u64::from(run.needs.cpu)).sum();
        let count = self.runs.len() as u64;
        u32::try_from(total.checked_div(count).unwrap_or(1_000)).unwrap_or(u32::MAX).max(1)
    }

    /// Returns how many runs have ended in this way.
    pub fn ended_runs(&self, how: RunEnd) -> u64 {
        self.end_counts[how as usize]
    }

    /// Returns how many runs were lost with the process of their upstream for this cause.
    pub fn lost_runs(&self, cause: LossCause) -> u64 {
        self.loss_counts[cause as usize]
    }

    /// Returns whether this dispatcher follows a run on an upstream to its end.
    pub fn follows(&self, upstream: UpstreamKey, task: &Task, number: u32) -> bool {
        let run = self.runs_by_task.get(&(task.clone(), number));
        run.and_then(|run| self.runs.get(*run)).is_some_and(|run| run.upstream == upstream)
    }

    /// Returns the number of tasks under which upstreams were lost, and that are remembered for it.
    pub fn quarantined_tasks(&self, now: Time) -> usize {
        self.quarantine.len(now)
    }

    /// Returns the time until the first lease of an upstream with runs expires; a minute if there
    /// are no runs.
    pub fn min_remaining_lease(&self, now: Time) -> Duration {
        let busy = self.upstreams.values().filter(|upstream| !upstream.runs.is_empty());
        let remaining = busy.map(|upstream| upstream.lease_expiry.since(now)).min();
        remaining.unwrap_or(Duration::from_secs(60))
    }

    /// Returns the number of a service's jobs of which no task has been started.
    pub fn queued_jobs(&self, service: &str) -> usize {
        let is_queued = |job: &&Job| !job.has_started && &*job.request.service == service;
        self.jobs.values().filter(is_queued).count()
    }

    /// Orders the upstream to stop a run, unless that was ordered before. Until the order is
    /// answered, the run's absence from a list proves nothing.
    fn stop(&mut self, key: RunKey) {
        let Some(run) = self.runs.get_mut(key) else { return };
        if run.state == RunState::Stopping {
            return;
        }
        run.state = RunState::Stopping;
        run.absence_proves_end_at = None;
        let (upstream, task, number) = (run.upstream, run.task.clone(), run.number);
        self.effects.push(Effect::Stop { upstream, run: key, task, number });
    }
}
