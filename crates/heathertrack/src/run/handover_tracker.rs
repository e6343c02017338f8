use super::ExecutionStatus;

/// Counts the tasks of a job that were handed to a dispatcher and may have started.
///
/// Only this type decides [`ExecutionStatus::NotRun`] for an accepted job. A task is counted just
/// before its handover, and remains so until the dispatcher has confirmed that no byte of it was
/// sent. A closed job hands over no further task, so once [`HandoverTracker::close`] has returned
/// `NotRun`, that remains true.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HandoverTracker {
    /// Number of tasks handed over and not confirmed as unstarted.
    unconfirmed: u32,
    closed: bool,
}

impl HandoverTracker {
    /// Counts a task that is about to be handed to a dispatcher. Returns `false` if the job is
    /// closed; the task must not be handed over then.
    #[must_use]
    pub fn try_hand_over(&mut self) -> bool {
        if self.closed {
            return false;
        }
        self.unconfirmed += 1;
        true
    }

    /// Removes a task from the count that the dispatcher dropped before any byte of it was sent.
    pub fn confirm_unstarted(&mut self) {
        debug_assert!(self.unconfirmed > 0, "more tasks were dropped than handed over");
        self.unconfirmed = self.unconfirmed.saturating_sub(1);
    }

    /// Closes the job and returns whether it may have run.
    pub fn close(&mut self) -> ExecutionStatus {
        self.closed = true;
        if self.unconfirmed == 0 { ExecutionStatus::NotRun } else { ExecutionStatus::MayHaveRun }
    }
}
