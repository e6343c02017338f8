use crate::state::State;
use heathertrack::name::Class;
use heathertrack_wire::caller::Job;
use std::time::Duration;

/// Expected times of a job's tasks at ordinary speed, worked out once when it comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Expected {
    /// Of the longest task.
    pub longest: Duration,
    /// Of all tasks together.
    pub work: Duration,
    /// Whether all are declared or learned, none guessed.
    pub known: bool,
}

impl Expected {
    /// Asks the dispatcher for all tasks at once.
    pub fn of(state: &State, job: &Job, class: &Class) -> Self {
        let core = state.dispatcher.core();
        let mut expected = Expected { longest: Duration::ZERO, work: Duration::ZERO, known: true };
        for task in &job.tasks {
            let time = core.expect(class, task.declared);
            expected.longest = expected.longest.max(time);
            expected.work += time;
            expected.known &= core.knows(class, task.declared);
        }
        expected
    }
}
