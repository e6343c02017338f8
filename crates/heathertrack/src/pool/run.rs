use super::job::Needs;
use super::{JobKey, Task, UpstreamKey};
use crate::clock::Time;
use std::time::Duration;

slotmap::new_key_type! {
    /// Names a run of one dispatcher.
    pub struct RunKey;
}

/// An upstream's answer to the order to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// It runs.
    Running,
    /// Refused for want of room; nothing was started.
    NoRoom,
    /// Refused as a run of this or a higher number was stopped or ended there.
    OldNumber,
    /// Refused as the order's lease had already ended.
    TooLate,
    /// Refused by an upstream that is unwell or another process than named; nothing was started.
    Unwell,
    /// Another process answers there: the upstream's own is gone, with all that ran in it.
    Replaced,
    /// No connection could be made, so the order was not sent.
    Unsent,
    /// No answer: it may run, or may be started later.
    Unknown,
}

/// How far the upstream is known to follow an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// The start has no answer yet.
    Starting,
    /// It was listed or answered as running.
    Running,
    /// It is to be stopped.
    Stopping,
}

/// A run that holds room on an upstream.
#[derive(Debug)]
pub(super) struct Run {
    pub task: Task,
    pub number: u32,
    /// `None` once the job has ended.
    pub job: Option<JobKey>,
    pub upstream: UpstreamKey,
    pub needs: Needs,
    pub state: State,
    pub ordered: Time,
    /// Expected duration on that upstream.
    pub expected: Duration,
    /// From here on no order is under way that could still begin it: if a look that was sent later
    /// doesn't show it, it is over.
    pub settled: Option<Time>,
    /// Whether it is still to be looked for once it is settled.
    pub unchecked: bool,
    /// Whether the upstream has said that it runs.
    pub seen: bool,
    /// Another dispatcher may have prolonged the lease of its upstream meanwhile, so that it may
    /// live on after what was prolonged here.
    pub shared: bool,
    /// Orders to stop it that got no answer.
    pub stop_attempts: u32,
    /// Percent of its work when it was last listed, and since when.
    pub percent: u32,
    pub percent_since: Time,
}
