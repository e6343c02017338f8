use super::Task;

/// An upstream's list of its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Reading of the upstream's clock, in milliseconds. Lease ends are times of the same clock, so
    /// its origin does not matter.
    pub clock_ms: u64,
    /// Unix time of the upstream's process start, in milliseconds.
    pub started_ms: u64,
    /// Runs that have not ended.
    pub running: Vec<RunningRun>,
    /// Ended runs that are not acknowledged yet.
    pub ended: Vec<EndedRun>,
}

/// A run that has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRun {
    /// The task.
    pub task: Task,
    /// Number of the run, counted per task.
    pub number: u32,
    /// Share of its work that is done, in percent.
    pub percent: u32,
}

/// A run that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number of the end; each process of the upstream counts from the start.
    pub sequence: u64,
    /// The task; `None` if its name can't be read.
    pub task: Option<Task>,
    /// Number of the run, counted per task.
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
    /// Stopped by an order of a dispatcher.
    Stopped,
    /// Ended because its lease expired.
    Expired,
    /// Listed as ended in another way, absent from a list without a listed end, or lost with the
    /// upstream's process.
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
