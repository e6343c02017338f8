use serde::{Deserialize, Serialize};

/// Start of a task, as recorded by the stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Value of the `Task-Key` header.
    pub key: String,
    /// Path of the request.
    pub path: String,
    /// Time of the start, in Unix microseconds.
    pub started_us: u64,
    /// Time of the end, in Unix microseconds, if the task has ended.
    pub ended_us: Option<u64>,
}

/// Returns the maximum number of tasks that ran concurrently.
pub fn max_concurrent(starts: &[Start]) -> usize {
    let mut changes: Vec<(u64, i32)> = Vec::new();
    for start in starts {
        changes.push((start.started_us, 1));
        changes.push((start.ended_us.unwrap_or(u64::MAX), -1));
    }
    // At equal times, ends (-1) sort before starts (+1).
    changes.sort_unstable();
    let mut running = 0;
    let mut max_running = 0;
    for (_, change) in changes {
        running += change;
        max_running = max_running.max(running);
    }
    usize::try_from(max_running).unwrap_or_default()
}
