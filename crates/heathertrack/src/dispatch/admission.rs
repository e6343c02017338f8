use super::{Load, Needs};
use std::time::Duration;
use thiserror::Error;

/// Why a job is refused before anything of it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The time until its deadline is too short for the queue and its own run time.
    #[error("the deadline cannot be met: about {} ms are needed", .needed.as_millis())]
    DeadlineTooShort {
        /// Expected time until the answer.
        needed: Duration,
    },
    /// No worker of the data centre is large enough for one of its tasks.
    #[error("task {index} fits no worker of this data centre")]
    FitsNowhere {
        /// Which task.
        index: usize,
    },
}

/// Decides early whether a job can be answered in time.
#[derive(Clone, Copy, Debug)]
pub struct Admission<'a> {
    /// Loads of the dispatchers of the data centre.
    pub loads: &'a [Load],
    /// Sizes of the workers of the data centre.
    pub workers: &'a [Needs],
}

impl Admission<'_> {
    /// Checks that each task fits some worker.
    pub fn check_sizes(&self, needs: impl IntoIterator<Item = Needs>) -> Result<(), Refusal> {
        for (index, need) in needs.into_iter().enumerate() {
            if !self.workers.iter().any(|worker| worker.holds(&need)) {
                return Err(Refusal::FitsNowhere { index });
            }
        }
        Ok(())
    }

    /// Checks that a job of this much work, its longest task as given, can end within `left`.
    pub fn check_time(
        &self,
        work: Duration,
        longest: Duration,
        left: Duration,
    ) -> Result<(), Refusal> {
        let needed = self.wait() + self.share_of(work).max(longest.mul_f64(self.fastest()));
        if needed > left { Err(Refusal::DeadlineTooShort { needed }) } else { Ok(()) }
    }

    /// Expected wait in the queues of the data centre taken as one.
    pub fn wait(&self) -> Duration {
        if self.loads.iter().any(|load| load.free_count() > load.waiting) {
            return Duration::ZERO;
        }
        let backlog: Duration = self.loads.iter().map(|load| load.backlog).sum();
        backlog.div_f64(self.rate())
    }

    fn share_of(&self, work: Duration) -> Duration {
        work.div_f64(self.rate())
    }

    fn rate(&self) -> f64 {
        self.loads.iter().map(|load| load.rate).sum::<f64>().max(1e-3)
    }

    /// Slowness of the fastest slot that is free now, or an ordinary one.
    fn fastest(&self) -> f64 {
        let free = self.loads.iter().flat_map(|load| &load.free);
        free.map(|slots| slots.slowness).fold(1.0, f64::min)
    }
}
