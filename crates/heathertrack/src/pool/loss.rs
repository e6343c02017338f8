use super::Task;
use crate::name;
use std::time::Duration;

/// Why a poll of an upstream has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// The connection was refused: no process listens at the address, or a network path refuses.
    Refused,
    /// Anything else, such as a timeout or a broken connection.
    NoAnswer,
}

/// What is known of an upstream's process when runs are lost with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossCause {
    /// It left as planned, or turned out to run on.
    Left,
    /// Nothing came from it: it has crashed, is suspended or partitioned.
    Unresponsive,
    /// Nothing came from it, and its record was removed from the store, as it no longer renewed it.
    RecordRemoved,
    /// It refused connections: it has crashed, or a network path refuses.
    Refused,
    /// Another process answered in its place.
    Replaced,
}

impl LossCause {
    /// All causes, in declaration order.
    pub const ALL: [LossCause; 5] = [
        LossCause::Left,
        LossCause::Unresponsive,
        LossCause::RecordRemoved,
        LossCause::Refused,
        LossCause::Replaced,
    ];

    /// Returns whether the process has probably crashed. A partition may refuse connections as well,
    /// so this proves nothing about its runs.
    pub fn is_crash(self) -> bool {
        matches!(self, LossCause::Refused | LossCause::Replaced)
    }

    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            LossCause::Left => "left",
            LossCause::Unresponsive => "unresponsive",
            LossCause::Refused => "refused",
            LossCause::RecordRemoved => "record_removed",
            LossCause::Replaced => "replaced",
        }
    }
}

/// Runs that were lost together, with the process of their upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Loss {
    /// The upstream.
    pub upstream: name::Upstream,
    /// Unix time of the start of its process in milliseconds, if known.
    pub started_ms: Option<u64>,
    /// What is known of its process.
    pub cause: LossCause,
    /// Without a crash: whether the process was lost together with others, for a common cause. Of a
    /// crash it is always set, as hosts of an earlier release would answer jobs as failed otherwise.
    pub is_doubtful: bool,
    /// The tasks of these runs, also those of jobs that have ended.
    pub tasks: Vec<Task>,
}

/// A run that was lost with the process of its upstream, as far as its dispatcher knows.
#[derive(Clone, Debug, PartialEq)]
pub struct LostRun {
    /// The task.
    pub task: Task,
    /// Number of the run.
    pub number: u32,
    /// Unix time in milliseconds of the start of the process that it was ordered from, if known.
    pub started_ms: Option<u64>,
    /// Time since the upstream last reported it as running; `None` if it never did.
    pub seen_age: Option<Duration>,
}

/// What the loss of one process says about a task.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    /// The upstream.
    pub upstream: name::Upstream,
    /// Unix time of the start of its process in milliseconds, if known.
    pub started_ms: Option<u64>,
    /// What the loss says, for logs.
    pub blame: &'static str,
    /// Time since the loss was recorded.
    pub age: Duration,
    /// Whether another dispatcher reported it.
    pub is_reported: bool,
}
