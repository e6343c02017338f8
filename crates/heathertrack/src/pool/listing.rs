use super::Task;

/// An upstream's list of its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The upstream's clock, in milliseconds.
    pub clock_ms: u64,
    /// Unix time of the upstream's process start, in milliseconds.
    pub born_ms: u64,
    /// Current runs.
    pub running: Vec<Row>,
    /// Ended runs that are not acknowledged yet.
    pub ended: Vec<End>,
}

/// A current run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The task.
    pub task: Task,
    /// Number of the run.
    pub number: u32,
    /// Share of its work that is done, in percent.
    pub percent: u32,
}

/// A run that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// Sequence number of the end, counted by the upstream's process.
    pub sequence: u64,
    /// The task; `None` if its name can't be read.
    pub task: Option<Task>,
    /// Number of the run.
    pub number: u32,
    /// How it ended.
    pub how: Ended,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Completed with a result.
    Done,
    /// Failed by its own or the upstream's fault.
    Failed,
    /// Stopped by an order.
    Stopped,
    /// Ended because its lease expired.
    Lapsed,
    /// Ended in another way, or disappeared without a listed end.
    Gone,
}

impl Ended {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Ended::Done => "done",
            Ended::Failed => "failed",
            Ended::Stopped => "stopped",
            Ended::Lapsed => "lapsed",
            Ended::Gone => "gone",
        }
    }
}
