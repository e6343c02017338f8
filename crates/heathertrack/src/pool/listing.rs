use super::Task;

/// An upstream's list of its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The upstream's clock, in milliseconds.
    pub clock_ms: u64,
    /// Unix time of the upstream's process start, in milliseconds.
    pub started_ms: u64,
    /// Current runs.
    pub running: Vec<RunningRun>,
    /// Ended runs that are not acknowledged yet.
    pub ended: Vec<EndedRun>,
}

/// A current run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRun {
    /// The task.
    pub task: Task,
    /// Number of the run.
    pub number: u32,
    /// Share of its work that is done, in percent.
    pub percent: u32,
}

/// A run that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number of the end, counted by the upstream's process.
    pub sequence: u64,
    /// The task; `None` if its name can't be read.
    pub task: Option<Task>,
    /// Number of the run.
    pub number: u32,
    /// How it ended.
    pub how: RunEnd,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Completed with a result.
    Done,
    /// Failed by its own or the upstream's fault.
    Failed,
    /// Stopped by an order.
    Stopped,
    /// Ended because its lease expired.
    Expired,
    /// Ended in another way, or disappeared without a listed end.
    Disappeared,
}

impl RunEnd {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            RunEnd::Done => "done",
            RunEnd::Failed => "failed",
            RunEnd::Stopped => "stopped",
            RunEnd::Expired => "lapsed",
            RunEnd::Disappeared => "gone",
        }
    }
}
