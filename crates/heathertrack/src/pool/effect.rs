use super::{JobKey, Load, RunKey, Task, UpstreamKey};
use crate::pool::job::{Id, Outcome};
use std::sync::Arc;
use std::time::Duration;

/// What the dispatcher asks of its surroundings.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Order an upstream to start a run; the answer goes to [`super::Pool::started`].
    Start {
        /// The upstream.
        upstream: UpstreamKey,
        /// The run.
        run: RunKey,
        /// The task.
        task: Task,
        /// Number of the run among the task's starts.
        number: u32,
        /// What the caller gave for its tasks.
        spec: Arc<str>,
        /// End of the lease on the upstream's clock, in milliseconds.
        until_ms: u64,
    },
    /// Order an upstream to stop a run; the answer goes to [`super::Pool::stopped`].
    Stop {
        /// The upstream.
        upstream: UpstreamKey,
        /// The run.
        run: RunKey,
        /// The task.
        task: Task,
        /// Number of the run.
        number: u32,
    },
    /// Look at an upstream; the answer goes to [`super::Pool::listed`] or
    /// [`super::Pool::look_failed`].
    Look {
        /// The upstream.
        upstream: UpstreamKey,
        /// Prolongs the lease of all that runs there to this instant of the upstream's clock.
        until_ms: Option<u64>,
        /// Number of the last end that is taken note of.
        acknowledged: u64,
        /// How long the upstream may wait for an end before it answers.
        wait: Duration,
    },
    /// Answer the job's submitter.
    Finish {
        /// The job.
        job: JobKey,
        /// Its identifier.
        id: Id,
        /// How it ended.
        outcome: Outcome,
        /// Whether that was within its objective.
        in_time: bool,
    },
    /// Write a decision to the log.
    Note(Decision),
}

/// A decision that touches a request or changes what is believed, with the inputs that decided it.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A job was taken.
    Taken {
        /// The job.
        job: Id,
        /// What the dispatcher's upstreams hold.
        load: Load,
        /// Core-seconds of the work that goes before it.
        ahead: f64,
    },
    /// A task was started.
    Placed {
        /// The task.
        task: Task,
        /// Number of the run.
        number: u32,
        /// Where.
        upstream: crate::name::Upstream,
        /// Expected duration there.
        expected: Duration,
        /// Learned speed of the upstream against the usual one.
        speed: f64,
        /// Age of the last answer from it.
        heard: Duration,
        /// Time since the job was received.
        age: Duration,
    },
    /// A job was refused at the door or while it waited.
    Refused {
        /// The job.
        job: Id,
        /// Which check refused it.
        why: &'static str,
        /// How long it had waited.
        waited: Duration,
        /// Expected wait for a start.
        expected: Duration,
    },
    /// A job was given up after some of its tasks had been started.
    GivenUp {
        /// The job.
        job: Id,
        /// Why.
        why: &'static str,
        /// Time since it was received.
        age: Duration,
    },
    /// A task failed as often as it may.
    TaskFailed {
        /// The task.
        task: Task,
        /// Failed runs.
        failures: u32,
    },
    /// A run ended otherwise than done.
    RunEnded {
        /// The task.
        task: Task,
        /// Number of the run.
        number: u32,
        /// Where it ran.
        upstream: crate::name::Upstream,
        /// How it ended.
        how: &'static str,
        /// Time since it was ordered.
        age: Duration,
    },
    /// What is believed of an upstream changed.
    Upstream {
        /// The upstream.
        upstream: crate::name::Upstream,
        /// What is believed now.
        state: &'static str,
        /// Age of the last answer from it.
        age: Duration,
    },
}
