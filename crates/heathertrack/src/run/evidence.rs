use super::Run;

/// Counts the tasks of a job that have left its home and were not proved unstarted.
///
/// This is the only place that decides [`Run::NotRun`] for an accepted job. A task counts from
/// before it is handed over until the receiver has said that it was not started. Once closed,
/// nothing more can be handed over, so what was said stays true.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    unproved: u32,
    closed: bool,
}

impl Evidence {
    /// Asks leave to hand a task to a dispatcher. Refused once the job has been closed.
    #[must_use]
    pub fn hand_over(&mut self) -> bool {
        if self.closed {
            return false;
        }
        self.unproved += 1;
        true
    }

    /// Notes that the dispatcher dropped the task before any byte of it left.
    pub fn unstarted(&mut self) {
        debug_assert!(self.unproved > 0, "a task came back that was never handed over");
        self.unproved = self.unproved.saturating_sub(1);
    }

    /// Closes the job and tells what may be said of it.
    pub fn close(&mut self) -> Run {
        self.closed = true;
        if self.unproved == 0 { Run::NotRun } else { Run::MayHaveRun }
    }
}
