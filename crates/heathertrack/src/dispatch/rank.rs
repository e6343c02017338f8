use super::{Objective, Options, Task};
use crate::clock::Time;
use std::time::Duration;

/// Place of a waiting task in the order; the smallest goes first.
///
/// A task's rank is the time by which its job would have waited `patience` times the time that it
/// needs: its longest task, and its work spread over all slots. Small jobs pass large ones that
/// came a little earlier, and nobody waits for ever, since what comes later ranks later. It never
/// changes while the task waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    due_micros: u64,
    /// Longer tasks of one job go first.
    shortness: u64,
}

/// Jobs under this expected time are ranked alike.
const SHORTEST: Duration = Duration::from_millis(5);

impl Rank {
    /// Rank of a task whose customer's fair turn comes at `turn`, where all slots together do
    /// `rate` seconds of ordinary work in a second.
    pub fn of(task: &Task, expected: Duration, turn: Time, rate: f64, options: &Options) -> Self {
        let base = task.arrived.max(turn);
        let slack = allowed_wait(task, rate, options);
        let shortness = u64::MAX - u64::try_from(expected.as_micros()).unwrap_or(u64::MAX);
        Rank { due_micros: (base + slack).as_micros(), shortness }
    }

    /// Rank of a task in a queue that is first in, first out.
    pub fn fifo(task: &Task) -> Self {
        Rank { due_micros: task.arrived.as_micros(), shortness: 0 }
    }
}

fn allowed_wait(task: &Task, rate: f64, options: &Options) -> Duration {
    let spread = task.job_work.as_secs_f64() / rate.max(1.0);
    let needed = task.job_longest.max(SHORTEST).as_secs_f64() + spread;
    let worth = match options.objective {
        Objective::Response => 1.0,
        Objective::Worth => task.worth.clamp(0.01, 100.0),
    };
    Duration::from_secs_f64((options.patience * needed / worth).min(3_600.0))
}
