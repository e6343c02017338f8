use super::Task;

/// What an upstream says of its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The upstream's clock, in milliseconds.
    pub clock_ms: u64,
    /// Unix time of the upstream's start, in milliseconds.
    pub born_ms: u64,
    /// What runs.
    pub running: Vec<Row>,
    /// What ended and isn't acknowledged.
    pub ended: Vec<End>,
}

/// A run that is under way.
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
    /// Counts the ends of the upstream's process.
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
    /// With its result.
    Done,
    /// By its own or the upstream's fault.
    Failed,
    /// By an order.
    Stopped,
    /// As its lease was not prolonged.
    Lapsed,
    /// Otherwise, or it is gone without a listed end.
    Gone,
}

impl Ended {
    /// Name for logs.
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
