use super::{Objective, Options, Task};
use crate::clock::Time;
use std::time::Duration;

/// Position of a queued task in the order; the smallest is served first.
///
/// The rank is the time at which the job has waited `wait_factor` times the time it needs, which is
/// that of its longest task plus its work spread over all slots. Small jobs overtake large ones
/// that arrived a little earlier. No task starves, as tasks that arrive later rank later. The rank
/// is constant while the task is queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    due_micros: u64,
    /// Orders the longer tasks of a job first.
    inverse_expected: u64,
}

/// Minimum longest-task time used for ranking; jobs below it rank alike.
const MIN_LONGEST_TASK: Duration = Duration::from_millis(5);
/// Upper bound of the wait that determines a rank, in seconds.
const MAX_ALLOWED_WAIT_S: f64 = 3_600.0;

impl Rank {
    /// Returns the rank of a task whose customer's fair share allows a start at `fair_start`.
    /// `rate` is the throughput of all slots in nominal seconds of work per second.
    pub fn of(
        task: &Task,
        expected: Duration,
        fair_start: Time,
        rate: f64,
        options: &Options,
    ) -> Self {
        let base = task.arrived.max(fair_start);
        let slack = allowed_wait(task, rate, options);
        let inverse_expected = u64::MAX - u64::try_from(expected.as_micros()).unwrap_or(u64::MAX);
        Rank { due_micros: (base + slack).as_micros(), inverse_expected }
    }

    /// Returns the rank of a task in a first-in, first-out queue.
    pub fn fifo(task: &Task) -> Self {
        Rank { due_micros: task.arrived.as_micros(), inverse_expected: 0 }
    }
}

fn allowed_wait(task: &Task, rate: f64, options: &Options) -> Duration {
    let spread = task.job_work.as_secs_f64() / rate.max(1.0);
    let needed = task.job_longest.max(MIN_LONGEST_TASK).as_secs_f64() + spread;
    let worth = match options.objective {
        Objective::Response => 1.0,
        Objective::Worth => task.worth.clamp(0.01, 100.0),
    };
    Duration::from_secs_f64((options.wait_factor * needed / worth).min(MAX_ALLOWED_WAIT_S))
}
