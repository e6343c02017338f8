use super::load::MIN_RATE;
use super::{Load, Needs};
use std::collections::HashMap;
use std::time::Duration;
use thiserror::Error;

/// Reason for refusing a job before any of its tasks starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The time left until the deadline is shorter than the queueing and run times.
    #[error("the deadline cannot be met: about {} ms are needed", .needed.as_millis())]
    DeadlineTooShort {
        /// Expected time until the job ends.
        needed: Duration,
    },
    /// No worker of the data centre is large enough for a task of the job.
    #[error("task {index} fits no worker of this data centre")]
    FitsNowhere {
        /// Index of the task within the job.
        index: usize,
    },
}

/// Resources and time that one task of a job needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Resources needed on a worker.
    pub needs: Needs,
    /// Expected run time at nominal speed.
    pub expected: Duration,
}

/// Admission control: decides before a job starts whether it can meet its deadline.
#[derive(Clone, Copy, Debug)]
pub struct Admission<'a> {
    /// Loads of all dispatchers in the data centre.
    pub loads: &'a [Load],
    /// Sizes of all upstreams in the data centre.
    pub upstream_sizes: &'a [Needs],
}

impl Admission<'_> {
    /// Checks that each task fits on at least one upstream.
    pub fn check_sizes(&self, needs: impl IntoIterator<Item = Needs>) -> Result<(), Refusal> {
        for (index, need) in needs.into_iter().enumerate() {
            if !self.upstream_sizes.iter().any(|size| size.holds(&need)) {
                return Err(Refusal::FitsNowhere { index });
            }
        }
        Ok(())
    }

    /// Checks that a job of these tasks is expected to end within `left`.
    pub fn check_time(
        &self,
        demands: impl IntoIterator<Item = Demand>,
        left: Duration,
    ) -> Result<(), Refusal> {
        let mut longest = Duration::ZERO;
        let mut work = Duration::ZERO;
        let mut by_needs: HashMap<Needs, Duration> = HashMap::new();
        for demand in demands {
            longest = longest.max(demand.expected);
            work += demand.expected;
            *by_needs.entry(demand.needs).or_default() += demand.expected;
        }
        // Tasks that only some upstreams can hold may take longer than all the work spread evenly.
        let bottleneck = by_needs.iter().map(|(needs, work)| self.min_time(*work, needs)).max();
        let spread = work.div_f64(self.rate()).max(bottleneck.unwrap_or_default());
        let needed = self.wait() + spread.max(longest.mul_f64(self.min_slowness()));
        if needed > left { Err(Refusal::DeadlineTooShort { needed }) } else { Ok(()) }
    }

    /// Minimum time for `work` of these needs on all upstreams that can hold it; zero if no
    /// dispatcher has reported such an upstream.
    fn min_time(&self, work: Duration, needs: &Needs) -> Duration {
        let rates = self.loads.iter().filter_map(|load| load.rate_for(needs));
        let rate: f64 = rates.sum();
        if rate > 0.0 { work.div_f64(rate.max(MIN_RATE)) } else { Duration::ZERO }
    }

    /// Expected wait, treating all queues of the data centre as one; zero if any dispatcher has
    /// more free slots than queued tasks.
    pub fn wait(&self) -> Duration {
        if self.loads.iter().any(|load| load.free_count() > load.queued) {
            return Duration::ZERO;
        }
        let backlog: Duration = self.loads.iter().map(|load| load.backlog).sum();
        backlog.div_f64(self.rate())
    }

    fn rate(&self) -> f64 {
        self.loads.iter().map(Load::rate).sum::<f64>().max(MIN_RATE)
    }

    /// Slowness of the fastest free slot; 1 if none is faster than nominal speed.
    fn min_slowness(&self) -> f64 {
        let free = self.loads.iter().flat_map(|load| &load.free);
        free.map(|slots| slots.slowness).fold(1.0, f64::min)
    }
}
