use heathertrack::pool::job::Needs;
use heathertrack::pool::{EndedRun, Listing, RunEnd, RunningRun, StartAnswer, Task};
use std::collections::BTreeMap;

/// Time from a stop order to the end of the run, in milliseconds.
const STOP_MS: u64 = 50;
/// Value of an upstream's clock at its start, in milliseconds.
const CLOCK_AT_START_MS: u64 = 1_000;

/// Actual state of a run on its upstream.
#[derive(Clone, Debug)]
pub struct Running {
    /// Number of the run among those of the task.
    pub number: u32,
    pub needs: Needs,
    /// Time at which it ends, on its own or by a stop, in milliseconds on the model's clock.
    pub ends_at: u64,
    /// How it ends then.
    pub end: RunEnd,
    /// Time of its start, in milliseconds on the model's clock.
    pub started_at: u64,
}

/// An emulated upstream that starts every run regardless of its capacity.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    /// Start of the process, in milliseconds on the model's clock.
    pub started_at: u64,
    pub running: BTreeMap<Task, Running>,
    /// Ended runs that are not acknowledged yet.
    ended: Vec<EndedRun>,
    /// Sequence number of the last end.
    last_sequence: u64,
    /// End of the lease of all runs, in milliseconds on the upstream's clock.
    lease_end_ms: u64,
    /// Highest run number of each task that was stopped or ended here.
    highest_numbers: BTreeMap<Task, u32>,
}

impl Upstream {
    /// Creates an upstream that has just started and has no runs.
    pub fn new(now: u64) -> Self {
        Upstream { started_at: now, ..Upstream::default() }
    }

    /// Returns the upstream's clock: milliseconds since its start, plus `CLOCK_AT_START_MS`.
    pub fn clock(&self, now: u64) -> u64 {
        now - self.started_at + CLOCK_AT_START_MS
    }

    /// Returns the end of the lease, in milliseconds on the upstream's clock.
    pub fn lease_end_ms(&self) -> u64 {
        self.lease_end_ms
    }

    /// Ends the runs that are over by now. Returns them and how each ended.
    pub fn advance(&mut self, now: u64) -> Vec<(Task, Running, RunEnd)> {
        let mut over = Vec::new();
        for (task, run) in &self.running {
            // Converted from the upstream's clock to the model's.
            let lease_end = (self.lease_end_ms + self.started_at).saturating_sub(CLOCK_AT_START_MS);
            if run.ends_at <= now.min(lease_end) {
                over.push((task.clone(), run.clone(), run.end));
            } else if lease_end <= now {
                over.push((task.clone(), run.clone(), RunEnd::Expired));
            }
        }
        for (task, run, end) in &over {
            self.running.remove(task);
            let highest = self.highest_numbers.entry(task.clone()).or_default();
            *highest = (*highest).max(run.number);
            self.last_sequence += 1;
            let task = Some(task.clone());
            self.ended.push(EndedRun {
                sequence: self.last_sequence,
                task,
                number: run.number,
                how: *end,
            });
        }
        over
    }

    /// Executes an order to start a run. Returns the answer, and whether this order started it.
    pub fn start(
        &mut self,
        task: &Task,
        run: Running,
        lease_end_ms: u64,
        now: u64,
    ) -> (StartAnswer, bool) {
        if self.clock(now) >= lease_end_ms {
            return (StartAnswer::TooLate, false);
        }
        self.lease_end_ms = self.lease_end_ms.max(lease_end_ms);
        if self.highest_numbers.get(task).is_some_and(|highest| run.number <= *highest) {
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

    /// Stops the runs of a task up to `number`. Later orders to start one of them are refused,
    /// whether or not it was present.
    pub fn stop(&mut self, task: &Task, number: u32, now: u64) {
        let highest = self.highest_numbers.entry(task.clone()).or_default();
        *highest = (*highest).max(number);
        if let Some(run) = self.running.get_mut(task)
            && run.number <= number
            && run.ends_at > now + STOP_MS
        {
            run.ends_at = now + STOP_MS;
            run.end = RunEnd::Stopped;
        }
    }

    /// Renews the lease, drops acknowledged ends, and lists the runs and ends. A run that is being
    /// stopped is omitted.
    pub fn poll(&mut self, lease_end_ms: Option<u64>, acknowledged: u64, now: u64) -> Listing {
        self.lease_end_ms = self.lease_end_ms.max(lease_end_ms.unwrap_or_default());
        self.ended.retain(|end| end.sequence > acknowledged);
        let row = |(task, run): (&Task, &Running)| RunningRun {
            task: task.clone(),
            number: run.number,
            percent: ((now - run.started_at) / 2).min(99) as u32,
        };
        let is_listed = |(_, run): &(&Task, &Running)| run.end != RunEnd::Stopped;
        Listing {
            clock_ms: self.clock(now),
            started_ms: self.started_at,
            running: self.running.iter().filter(is_listed).map(row).collect(),
            ended: self.ended.clone(),
        }
    }
}
