//! Emulated upstream: runs under leases, with the semantics that the users specify.

use heathertrack::name::Upstream;
use heathertrack::pool::job::{Id, Needs};
use heathertrack::pool::upstream::Record;
use heathertrack::pool::{EndedRun, Listing, RunEnd, RunningRun, StartAnswer, Task};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Longest lease that is granted, in milliseconds of the upstream's clock.
const MAX_LEASE_MS: u64 = 1_000;
/// Time that it takes to stop a run.
const STOP_DURATION: Duration = Duration::from_millis(50);
/// Time after which a stalled run ends, later than the end of any simulation.
const STALL_DURATION: Duration = Duration::from_secs(3_600);

/// Tasks of one class that are slowed by those of a class beside them on an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowdown {
    /// Index of the class that is slowed.
    pub slowed: usize,
    /// Index of the class of the neighbours.
    pub by: usize,
    /// Factor by which each neighbour lengthens what is left of a run.
    pub factor: f64,
}

/// Actual resource use and run times of a job, unknown to the dispatchers.
#[derive(Clone, Debug)]
pub struct JobProfile {
    /// Index of its class.
    pub class: usize,
    /// Run time of each task on an upstream of speed 1.
    pub work: Vec<Duration>,
    /// Resources that each task takes.
    pub needs: Needs,
    /// Whether the job's tasks fail on every upstream.
    pub poison: bool,
    /// Whether the job's first task crashes every upstream that starts it.
    pub deadly: bool,
}

/// Jobs by their identifier, shared by all upstreams.
pub type JobProfiles = Rc<RefCell<BTreeMap<Id, JobProfile>>>;

/// A run that has ended on an upstream.
#[derive(Clone, Debug)]
pub struct CompletedRun {
    /// Task of the run.
    pub task: Task,
    /// Start of the run.
    pub started_at: Instant,
    /// End of the run.
    pub ended_at: Instant,
    /// Whether the order to start it was executed late.
    pub started_late: bool,
    /// How it ended; `None` if it did with the process of its upstream.
    pub how: Option<RunEnd>,
}

impl CompletedRun {
    /// Returns whether it ended with the process of its upstream.
    pub fn is_lost(&self) -> bool {
        self.how.is_none()
    }
}

/// A run in progress.
#[derive(Clone, Debug)]
struct Running {
    /// Number of the run among those of its task; a later run has a higher number.
    number: u32,
    /// Index of the class of its job.
    class: usize,
    needs: Needs,
    /// Factor by which its neighbours lengthen it at present.
    slowdown: f64,
    started_at: Instant,
    /// Time at which it ends if its lease has not expired before.
    ends_at: Instant,
    /// Kind of the end at that time.
    end: RunEnd,
    /// Whether the order to start it was executed late.
    started_late: bool,
}

/// How an upstream misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Misbehaviour {
    /// All runs that it starts fail, after a quarter of their duration.
    pub fails_runs: bool,
    /// All runs that it starts stall.
    pub stalls_runs: bool,
    /// Relative increase of the duration of runs: 0.5 makes them take 1.5 times as long.
    pub slowdown: f64,
}

/// An emulated upstream.
#[derive(Debug)]
pub struct EmulatedUpstream {
    /// The upstream's record in the store.
    pub record: Record,
    /// Speed relative to the reference speed of 1.
    pub speed: f64,
    /// Rate of the upstream's clock relative to true time: 0.99 means that it runs 1% slow.
    pub clock_rate: f64,
    /// Current misbehaviour.
    pub misbehaviour: Misbehaviour,
    /// Whether the upstream is not running, so that connections to it are refused.
    pub down: bool,
    /// Steps of the upstream's time of day so far, in milliseconds.
    pub time_of_day_step_ms: i64,
    /// Time at which the upstream was created.
    created_at: Instant,
    /// Time of day at which it was created, in milliseconds.
    created_ms: u64,
    /// Number of the process, which differs from those before.
    incarnation: u64,
    /// Start of the incarnation, when its clock was zero.
    incarnation_start: Instant,
    /// Time of day at which the incarnation started, in milliseconds.
    started_ms: u64,
    /// End of the lease of all runs, on the upstream's clock.
    lease_end_ms: u64,
    /// Sequence number of the last end.
    last_sequence: u64,
    running: BTreeMap<Task, Running>,
    /// Ends that are not acknowledged.
    ended: Vec<EndedRun>,
    /// Highest run number of each task that was started or stopped here.
    highest_numbers: BTreeMap<Task, u32>,
    /// Runs that have ended, in all incarnations.
    pub completed_runs: Vec<CompletedRun>,
    job_profiles: JobProfiles,
    slowdowns: Rc<[Slowdown]>,
    /// Notified when a run begins or ends.
    pub changed: Rc<Notify>,
}

impl EmulatedUpstream {
    /// Creates an upstream without runs.
    pub fn new(
        record: Record,
        speed: f64,
        clock_rate: f64,
        job_profiles: &JobProfiles,
        slowdowns: &Rc<[Slowdown]>,
    ) -> Self {
        let now = Instant::now();
        let created_ms = record.started_ms.unwrap_or_default();
        EmulatedUpstream {
            record,
            speed,
            clock_rate,
            misbehaviour: Misbehaviour::default(),
            down: false,
            time_of_day_step_ms: 0,
            created_at: now,
            created_ms,
            incarnation: 0,
            incarnation_start: now,
            started_ms: created_ms,
            lease_end_ms: 0,
            last_sequence: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            highest_numbers: BTreeMap::new(),
            completed_runs: Vec::new(),
            job_profiles: job_profiles.clone(),
            slowdowns: slowdowns.clone(),
            changed: Rc::default(),
        }
    }

    /// Returns the upstream's name.
    pub fn name(&self) -> &Upstream {
        &self.record.name
    }

    /// Returns the time on the upstream's clock, in milliseconds.
    pub fn clock_ms(&self, now: Instant) -> u64 {
        (now.duration_since(self.incarnation_start).as_secs_f64() * 1_000.0 * self.clock_rate)
            as u64
    }

    fn lease_expiry(&self) -> Instant {
        self.incarnation_start
            + Duration::from_secs_f64(self.lease_end_ms as f64 / 1_000.0 / self.clock_rate)
    }

    /// Returns when the next run ends or the lease expires, or `None` without runs.
    pub fn next_end(&self) -> Option<Instant> {
        let end = self.running.values().map(|run| run.ends_at).min()?;
        Some(end.min(self.lease_expiry()))
    }

    /// Ends the runs that have completed or whose lease has expired by `now`.
    pub fn advance(&mut self, now: Instant) {
        let expiry = self.lease_expiry();
        loop {
            let next = self.running.iter().min_by_key(|(_, run)| run.ends_at);
            let Some((task, run)) = next.map(|(task, run)| (task.clone(), run.clone())) else {
                return;
            };
            let (at, how) = if run.ends_at <= expiry {
                (run.ends_at, run.end)
            } else {
                (expiry, RunEnd::Expired)
            };
            if at > now {
                return;
            }
            self.finish(&task, at, how);
        }
    }

    /// Ends a run, and lists its end.
    fn finish(&mut self, task: &Task, at: Instant, how: RunEnd) {
        let Some(run) = self.remove(task, at, Some(how)) else { return };
        self.last_sequence += 1;
        let (sequence, number) = (self.last_sequence, run.number);
        self.ended.push(EndedRun { sequence, task: Some(task.clone()), number, how });
        self.changed.notify_waiters();
    }

    /// Removes a run that has ended, and records it.
    fn remove(&mut self, task: &Task, at: Instant, how: Option<RunEnd>) -> Option<Running> {
        let run = self.running.remove(task)?;
        self.completed_runs.push(CompletedRun {
            task: task.clone(),
            started_at: run.started_at,
            ended_at: at,
            started_late: run.started_late,
            how,
        });
        self.adjust_ends(at);
        Some(run)
    }

    /// Adjusts the ends of the runs to the neighbours that they have from `at` on.
    fn adjust_ends(&mut self, at: Instant) {
        if self.slowdowns.is_empty() {
            return;
        }
        let classes: Vec<usize> = self.running.values().map(|run| run.class).collect();
        for run in self.running.values_mut() {
            let beside = |by| classes.iter().filter(|class| **class == by).count();
            let neighbours = |slowdown: &Slowdown| {
                let own = usize::from(slowdown.by == run.class);
                slowdown.factor.powf((beside(slowdown.by) - own) as f64)
            };
            let concerning = self.slowdowns.iter().filter(|slowdown| slowdown.slowed == run.class);
            let factor: f64 = concerning.map(neighbours).product();
            if matches!(run.end, RunEnd::Done | RunEnd::Failed) {
                let left = run.ends_at.duration_since(at);
                run.ends_at = at + left.mul_f64(factor / run.slowdown);
            }
            run.slowdown = factor;
        }
    }

    /// Returns whether a task crashes this upstream shortly after its start.
    pub fn is_deadly(&self, task: &Task) -> bool {
        let profiles = self.job_profiles.borrow();
        task.index == 0 && profiles.get(&task.job).is_some_and(|profile| profile.deadly)
    }

    /// Returns a value that differs between incarnations.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the time of day, in milliseconds, on the upstream's clock, which may have been stepped.
    fn time_of_day_ms(&self, now: Instant) -> u64 {
        let elapsed_ms = now.duration_since(self.created_at).as_millis() as u64;
        (self.created_ms + elapsed_ms).saturating_add_signed(self.time_of_day_step_ms)
    }

    /// Returns the end of the lease of all runs, in milliseconds of the upstream's clock.
    pub fn lease_end_ms(&self) -> u64 {
        self.lease_end_ms
    }

    /// Returns the runs as they were when the upstream last advanced.
    pub fn running(&self) -> impl Iterator<Item = (Task, u32)> {
        self.running.iter().map(|(task, run)| (task.clone(), run.number))
    }

    /// Returns the number of a task's run that is in progress at `now`.
    pub fn running_number(&self, task: &Task, now: Instant) -> Option<u32> {
        let run = self.running.get(task)?;
        (run.ends_at > now && self.lease_expiry() > now).then_some(run.number)
    }

    /// Returns whether a task's run is being stopped.
    pub fn is_stopping(&self, task: &Task) -> bool {
        self.running.get(task).is_some_and(|run| run.end == RunEnd::Stopped)
    }

    /// Extends the lease to `lease_end_ms`, limited to [`MAX_LEASE_MS`] from now.
    fn renew_lease(&mut self, lease_end_ms: u64, now: Instant) {
        let max_ms = self.clock_ms(now) + MAX_LEASE_MS;
        self.lease_end_ms = self.lease_end_ms.max(lease_end_ms.min(max_ms));
    }

    fn free_capacity(&self) -> Needs {
        let mut used = Needs::default();
        for run in self.running.values() {
            used.add(&run.needs);
        }
        self.record.capacity.without(&used)
    }

    /// Executes an order to start a run, and renews the lease unless its given end has passed or
    /// the job is unknown. `late` says that the order is executed late. An order with a run number
    /// that is not higher than those seen is rejected.
    pub fn start(
        &mut self,
        task: &Task,
        number: u32,
        lease_end_ms: u64,
        late: bool,
        now: Instant,
    ) -> StartAnswer {
        self.advance(now);
        if lease_end_ms <= self.clock_ms(now) {
            return StartAnswer::TooLate;
        }
        if self.running.get(task).is_some_and(|run| run.number == number) {
            self.renew_lease(lease_end_ms, now);
            return StartAnswer::Running;
        }
        let highest = self.highest_numbers.get(task).copied().unwrap_or_default();
        if number <= highest || self.running.contains_key(task) {
            self.renew_lease(lease_end_ms, now);
            return StartAnswer::OldNumber;
        }
        let Some(profile) = self.job_profiles.borrow().get(&task.job).cloned() else {
            return StartAnswer::Unwell;
        };
        if !profile.needs.fits(&self.free_capacity()) {
            self.renew_lease(lease_end_ms, now);
            return StartAnswer::NoRoom;
        }
        self.renew_lease(lease_end_ms, now);
        self.highest_numbers.insert(task.clone(), number);
        let work = profile.work.get(task.index as usize).copied().unwrap_or_default();
        let work = work.mul_f64((1.0 + self.misbehaviour.slowdown) / self.speed);
        let (ends_at, end) = if self.misbehaviour.stalls_runs || self.is_deadly(task) {
            (now + STALL_DURATION, RunEnd::Disappeared)
        } else if self.misbehaviour.fails_runs || profile.poison {
            (now + work / 4, RunEnd::Failed)
        } else {
            (now + work, RunEnd::Done)
        };
        let run = Running {
            number,
            class: profile.class,
            needs: profile.needs,
            slowdown: 1.0,
            started_at: now,
            ends_at,
            end,
            started_late: late,
        };
        self.running.insert(task.clone(), run);
        self.adjust_ends(now);
        self.changed.notify_waiters();
        StartAnswer::Running
    }

    /// Executes an order to stop a run. The run ends after `STOP_DURATION`.
    pub fn stop(&mut self, task: &Task, number: u32, now: Instant) {
        self.advance(now);
        let highest = self.highest_numbers.entry(task.clone()).or_default();
        *highest = (*highest).max(number);
        if let Some(run) = self.running.get_mut(task)
            && run.number <= number
            && run.ends_at > now + STOP_DURATION
        {
            run.ends_at = now + STOP_DURATION;
            run.end = RunEnd::Stopped;
            self.changed.notify_waiters();
        }
    }

    /// Returns whether an end is listed that is not acknowledged yet; a poll is then answered at
    /// once.
    pub fn has_unacknowledged_end(&self, acknowledged: u64) -> bool {
        self.ended.iter().any(|end| end.sequence > acknowledged)
    }

    /// Renews the lease, if an end of it is given, and removes the ends up to the sequence number
    /// `acknowledged`.
    pub fn renew_and_acknowledge(
        &mut self,
        lease_end_ms: Option<u64>,
        acknowledged: u64,
        now: Instant,
    ) {
        self.advance(now);
        if let Some(lease_end_ms) = lease_end_ms {
            self.renew_lease(lease_end_ms, now);
        }
        self.ended.retain(|end| end.sequence > acknowledged);
    }

    /// Returns the runs that are in progress and the ends that are not acknowledged.
    pub fn list(&mut self, now: Instant) -> Listing {
        self.advance(now);
        let percent = |run: &Running| {
            let whole = run.ends_at.duration_since(run.started_at).as_secs_f64().max(1e-6);
            (now.duration_since(run.started_at).as_secs_f64() / whole * 100.0) as u32
        };
        let row = |(task, run): (&Task, &Running)| RunningRun {
            task: task.clone(),
            number: run.number,
            percent: percent(run),
        };
        Listing {
            clock_ms: self.clock_ms(now),
            started_ms: self.started_ms,
            // A run that is being stopped is in neither list. The users' specification also allows
            // listing it; this reading is the harder one for the dispatcher.
            running: self
                .running
                .iter()
                .filter(|(_, run)| run.end != RunEnd::Stopped)
                .map(row)
                .collect(),
            ended: self.ended.clone(),
        }
    }

    /// Ends all runs, and starts a new incarnation under the same name.
    pub fn crash(&mut self, now: Instant) {
        self.advance(now);
        let tasks: Vec<Task> = self.running.keys().cloned().collect();
        for task in tasks {
            self.remove(&task, now, None);
        }
        self.ended.clear();
        self.highest_numbers.clear();
        self.last_sequence = 0;
        self.lease_end_ms = 0;
        self.incarnation_start = now;
        self.incarnation += 1;
        // Two processes of an upstream never start at the same time of day.
        let is_same = self.time_of_day_ms(now) == self.started_ms;
        self.started_ms = self.time_of_day_ms(now) + u64::from(is_same);
        self.record.started_ms = Some(self.started_ms);
        self.changed.notify_waiters();
    }

    /// Ends all runs, so that [`Self::completed_runs`] is complete.
    pub fn end_all_runs(&mut self, now: Instant) {
        self.advance(now);
        let tasks: Vec<Task> = self.running.keys().cloned().collect();
        for task in tasks {
            self.finish(&task, now, RunEnd::Disappeared);
        }
    }
}

/// Waits until an end is listed that is not acknowledged, at most until `until`, or until the
/// upstream's process crashes.
pub async fn wait_for_end(
    upstream: &Rc<RefCell<EmulatedUpstream>>,
    acknowledged: u64,
    until: Instant,
) {
    let incarnation = upstream.borrow().incarnation();
    loop {
        let now = Instant::now();
        upstream.borrow_mut().advance(now);
        if upstream.borrow().incarnation() != incarnation {
            return;
        }
        if upstream.borrow().has_unacknowledged_end(acknowledged) || now >= until {
            return;
        }
        let next = upstream.borrow().next_end().unwrap_or(until).min(until);
        let changed = upstream.borrow().changed.clone();
        tokio::select! {
            biased;
            () = changed.notified() => {}
            () = sleep_until(next) => {}
        }
    }
}
