use super::{Objective, Options, Task};
use crate::clock::Time;
use std::time::Duration;

/// Position of a queued task in the order; the smallest rank is served first.
///
/// The rank is the time at which the job has waited [`Options::wait_factor`] times the time that it
/// needs: the run time of its longest task plus its total work spread over all slots. Under
/// [`Objective::Worth`] this wait is divided by the job's worth.
///
/// Small jobs overtake large ones that arrived a little earlier. No task starves: its rank is
/// constant while it is queued, and the ranks of new tasks increase with their arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Time up to which the job may wait, in microseconds.
    due_micros: u64,
    /// `u64::MAX` minus the expected run time in microseconds, so that the longer tasks of a job
    /// are served first.
    inverse_expected: u64,
}

/// Lower bound of the longest task's run time in the ranking. Jobs of shorter tasks are ranked as
/// if their longest task took this long.
const MIN_LONGEST_TASK: Duration = Duration::from_millis(5);
/// Upper bound of the wait that determines a rank, in seconds.
const MAX_ALLOWED_WAIT_S: f64 = 3_600.0;
/// Lower bound of the throughput over which a job's work is spread, in nominal seconds of work per
/// second.
const MIN_SPREAD_RATE: f64 = 1.0;
/// Lower bound of the worth used for ranking.
const MIN_WORTH: f64 = 0.01;
/// Upper bound of the worth used for ranking.
const MAX_WORTH: f64 = 100.0;

impl Rank {
    /// Returns the rank of a task whose customer's fair share allows a start at `fair_start`.
    ///
    /// `expected` is the expected run time of the task at nominal speed, `rate` the throughput of
    /// all slots in nominal seconds of work per second.
    pub fn of(
        task: &Task,
        expected: Duration,
        fair_start: Time,
        rate: f64,
        options: &Options,
    ) -> Self {
        let base = task.arrived.max(fair_start);
        let wait = allowed_wait(task, rate, options);
        let inverse_expected = u64::MAX - u64::try_from(expected.as_micros()).unwrap_or(u64::MAX);
        Rank { due_micros: (base + wait).as_micros(), inverse_expected }
    }

    /// Returns the rank of a task in a first-in, first-out queue.
    pub fn fifo(task: &Task) -> Self {
        Rank { due_micros: task.arrived.as_micros(), inverse_expected: 0 }
    }
}

/// Returns the wait after which later jobs, however short, no longer overtake the task.
fn allowed_wait(task: &Task, rate: f64, options: &Options) -> Duration {
    let spread = task.job_work.as_secs_f64() / rate.max(MIN_SPREAD_RATE);
    let needed = task.job_longest.max(MIN_LONGEST_TASK).as_secs_f64() + spread;
    let worth = match options.objective {
        Objective::Response => 1.0,
        Objective::Worth => task.worth.clamp(MIN_WORTH, MAX_WORTH),
    };
    Duration::from_secs_f64((options.wait_factor * needed / worth).min(MAX_ALLOWED_WAIT_S))
}
