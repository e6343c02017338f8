use super::Run;

/// Counts the tasks of a job that have left its home and were not proved unstarted.
///
/// This is the only place that decides [`Run::NotRun`] for an accepted job. A task counts from
/// before it is handed over until the receiver has said that it was not started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    unproved: u32,
}

impl Evidence {
    /// Notes that a task is about to be handed to a dispatcher.
    pub fn hand_over(&mut self) {
        self.unproved += 1;
    }

    /// Notes that the dispatcher dropped the task before any byte of it left.
    pub fn unstarted(&mut self) {
        debug_assert!(self.unproved > 0, "a task came back that was never handed over");
        self.unproved = self.unproved.saturating_sub(1);
    }

    /// What may be said of the job now.
    pub fn run(&self) -> Run {
        if self.unproved == 0 { Run::NotRun } else { Run::MayHaveRun }
    }
}
