use heathertrack::pool::job::Needs;
use heathertrack::pool::{EndedRun, Listing, RunEnd, RunningRun, StartAnswer, Task};
use std::collections::BTreeMap;

/// Duration of a stop, in milliseconds.
const STOP_MS: u64 = 50;
/// Value of an upstream's clock at its start, in milliseconds.
const CLOCK_AT_START_MS: u64 = 1_000;

/// Actual state of a run on its upstream.
#[derive(Clone, Debug)]
pub struct Running {
    pub number: u32,
    pub needs: Needs,
    /// Time at which it ends, on its own or by a stop.
    pub ends: u64,
    pub end: RunEnd,
    pub started: u64,
}

/// An emulated upstream that starts every run regardless of its capacity.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    pub started: u64,
    pub running: BTreeMap<Task, Running>,
    ended: Vec<EndedRun>,
    sequence: u64,
    lease_until: u64,
    /// Highest run number of each task that was stopped or ended here.
    highest_numbers: BTreeMap<Task, u32>,
}

impl Upstream {
    /// Creates an upstream that has just started and has no runs.
    pub fn new(now: u64) -> Self {
        Upstream { started: now, ..Upstream::default() }
    }

    /// Returns the upstream's clock: milliseconds since its start, plus `CLOCK_AT_START_MS`.
    pub fn clock(&self, now: u64) -> u64 {
        now - self.started + CLOCK_AT_START_MS
    }

    /// Ends the runs that are over by now. Returns them and how each ended.
    pub fn advance(&mut self, now: u64) -> Vec<(Task, Running, RunEnd)> {
        let mut over = Vec::new();
        for (task, run) in &self.running {
            // The lease is a time on the upstream's clock.
            let expires = (self.lease_until + self.started).saturating_sub(CLOCK_AT_START_MS);
            if run.ends <= now.min(expires) {
                over.push((task.clone(), run.clone(), run.end));
            } else if expires <= now {
                over.push((task.clone(), run.clone(), RunEnd::Expired));
            }
        }
        for (task, run, end) in &over {
            self.running.remove(task);
            let known = self.highest_numbers.entry(task.clone()).or_default();
            *known = (*known).max(run.number);
            self.sequence += 1;
            let task = Some(task.clone());
            self.ended.push(EndedRun {
                sequence: self.sequence,
                task,
                number: run.number,
                how: *end,
            });
        }
        over
    }

    /// Starts a run. Returns the answer, and whether the run is new.
    pub fn start(
        &mut self,
        task: &Task,
        run: Running,
        until: u64,
        now: u64,
    ) -> (StartAnswer, bool) {
        if self.clock(now) >= until {
            return (StartAnswer::TooLate, false);
        }
        self.lease_until = self.lease_until.max(until);
        if self.highest_numbers.get(task).is_some_and(|known| run.number <= *known) {
            return (StartAnswer::OldNumber, false);
        }
        if let Some(other) = self.running.get(task) {
            let same = other.number == run.number;
            let answer = if same { StartAnswer::Running } else { StartAnswer::OldNumber };
            return (answer, false);
        }
        self.running.insert(task.clone(), run);
        (StartAnswer::Running, true)
    }

    /// Stops a run if it is present. Later orders to start it are rejected either way.
    pub fn stop(&mut self, task: &Task, number: u32, now: u64) {
        let known = self.highest_numbers.entry(task.clone()).or_default();
        *known = (*known).max(number);
        if let Some(run) = self.running.get_mut(task)
            && run.number <= number
            && run.ends > now + STOP_MS
        {
            run.ends = now + STOP_MS;
            run.end = RunEnd::Stopped;
        }
    }

    /// Renews the lease, drops acknowledged ends, and lists the runs and ends. A run that is being
    /// stopped is omitted.
    pub fn poll(&mut self, until: Option<u64>, acknowledged: u64, now: u64) -> Listing {
        self.lease_until = self.lease_until.max(until.unwrap_or_default());
        self.ended.retain(|end| end.sequence > acknowledged);
        let row = |(task, run): (&Task, &Running)| RunningRun {
            task: task.clone(),
            number: run.number,
            percent: ((now - run.started) / 2).min(99) as u32,
        };
        let is_listed = |(_, run): &(&Task, &Running)| run.end != RunEnd::Stopped;
        Listing {
            clock_ms: self.clock(now),
            started_ms: self.started,
            running: self.running.iter().filter(is_listed).map(row).collect(),
            ended: self.ended.clone(),
        }
    }
}
