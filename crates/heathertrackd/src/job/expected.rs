//! Expected durations of a job's tasks.

use crate::state::State;
use heathertrack::dispatch::Demand;
use heathertrack::name::Class;
use heathertrack_wire::caller::Job;
use std::time::Duration;

/// Expected durations of a job's tasks on an upstream of nominal speed, computed once when the job
/// arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Expected {
    /// Duration of the longest task.
    pub longest: Duration,
    /// Total duration of all tasks.
    pub work: Duration,
    /// Demands that admission checks. All their durations are zero if the duration of any task is
    /// neither declared nor known from past runs: a job is not refused because of a default.
    pub demands: Vec<Demand>,
}

impl Expected {
    /// Computes the expected durations of all tasks. Locks the dispatcher once for all of them.
    pub fn of(state: &State, job: &Job, class: &Class) -> Self {
        let core = state.dispatcher.core();
        let all_known = job.tasks.iter().all(|task| core.has_estimate(class, task.declared));
        let mut longest = Duration::ZERO;
        let mut work = Duration::ZERO;
        let mut demands = Vec::with_capacity(job.tasks.len());
        for task in &job.tasks {
            let time = core.expected_run_time(class, task.declared);
            longest = longest.max(time);
            work += time;
            let expected = if all_known { time } else { Duration::ZERO };
            demands.push(Demand { needs: task.needs, expected });
        }
        Expected { longest, work, demands }
    }
}
