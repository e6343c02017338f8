use super::job::Needs;
use super::{JobKey, Task, UpstreamKey};
use crate::clock::Time;
use std::time::Duration;

slotmap::new_key_type! {
    /// Key of a run within one dispatcher.
    pub struct RunKey;
}

/// An upstream's answer to the order to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run has started.
    Running,
    /// Refused for want of free capacity; nothing was started.
    NoRoom,
    /// Refused because the upstream already knows this or a higher number for a run of the task.
    OldNumber,
    /// Refused because the lease of the order had already expired; nothing was started.
    TooLate,
    /// Refused for another reason, such as the upstream's health or load; nothing was started.
    Unwell,
    /// Another process answered at the address: the upstream's process is gone, and all its runs
    /// with it.
    Replaced,
    /// The order was not sent, as no connection could be made; nothing was started.
    Unsent,
    /// No answer: the run may have started, or may start later.
    Unknown,
}

/// State of a run, as far as its dispatcher knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// The order to start has no answer yet.
    Starting,
    /// The upstream has answered or listed it as running.
    Running,
    /// A stop was ordered.
    Stopping,
}

/// A run that holds capacity on an upstream.
#[derive(Debug)]
pub(super) struct Run {
    pub task: Task,
    /// Number of the run, counted per task.
    pub number: u32,
    /// `None` once the job has ended.
    pub job: Option<JobKey>,
    pub upstream: UpstreamKey,
    /// Unix time of the start of the upstream's process in milliseconds: of the one that has listed the
    /// run, and before that, of the one it was ordered from. `None` if another one has answered that
    /// order, and no list has shown which.
    pub process_started_ms: Option<u64>,
    pub needs: Needs,
    pub state: RunState,
    /// When its start was ordered.
    pub ordered_at: Time,
    /// Expected duration on that upstream.
    pub expected: Duration,
    /// Instant from which the run is over if a poll that is sent later doesn't list it: it has
    /// begun, or was stopped and can't begin any more. `None` until it is known to have begun, and
    /// again until an order to stop it is answered.
    pub absence_proves_end_at: Option<Time>,
    /// Whether the upstream has to be polled at `absence_proves_end_at`, as no listed end will
    /// complete the poll in flight.
    pub poll_for_end: bool,
    /// Whether the last list lacked it although no order of this dispatcher has stopped it. Another
    /// host may have, and a run that is being stopped is in no list.
    pub is_absent: bool,
    /// When the upstream last reported it as running.
    pub seen_at: Option<Time>,
    /// Sequence number of the end that lists this run as failed before its order was answered. It may be
    /// the end of an earlier submission's run with the same number.
    pub early_failure: Option<u64>,
    /// Whether a competing dispatcher may renew, or may have renewed, the lease of its upstream, so
    /// that it may outlive the lease that this dispatcher renewed.
    pub competitor_may_renew: bool,
    /// Time until which hosts with a link may have renewed that lease before their lists showed this
    /// run.
    pub shared_until: Time,
    /// Lowest value that the clock of the known process could show when the run was ordered, in
    /// milliseconds. An answer with a lower one comes from another process.
    pub min_clock_ms: u64,
    /// Whether another process may have taken the place of the known one before the run was ordered.
    pub may_have_restarted: bool,
    /// Time until which such a process may run it, if the order has no answer.
    pub unanswered_until: Time,
    /// Number of unanswered orders to stop it.
    pub unanswered_stops: u32,
    /// Since when it is left to the expiry of its lease, if it is: no host may renew it any more.
    pub expiring_since: Option<Time>,
    /// Share of its work that was done when it was last listed, in percent.
    pub percent: u32,
    /// When `percent` last changed.
    pub progressed_at: Time,
}

impl Run {
    /// Returns whether the run is known to have begun.
    pub fn has_begun(&self) -> bool {
        self.seen_at.is_some()
    }
}
