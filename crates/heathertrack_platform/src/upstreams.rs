use crate::Fault;
use heathertrack::name::Upstream;
use heathertrack::pool::{Listing, StartAnswer, Task};
use std::sync::Arc;
use std::time::Duration;

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The task.
    pub task: Task,
    /// Number of the run.
    pub number: u32,
    /// What the task is to do.
    pub spec: Arc<str>,
    /// End of the lease on the upstream's clock, in milliseconds; also the instant after which the
    /// run may not begin.
    pub until_ms: u64,
}

/// A look at an upstream's runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Look {
    /// Prolongs the lease of all that runs there to this instant of the upstream's clock.
    pub until_ms: Option<u64>,
    /// Number of the last end that is taken note of.
    pub acknowledged: u64,
    /// How long the upstream may wait for an end before it answers.
    pub wait: Duration,
}

/// Orders to upstreams. Each names the upstream at `address`, and no other takes it.
pub trait Upstreams: Clone + 'static {
    /// Starts a run. Gives the upstream's clock in milliseconds too, if it told.
    fn start(
        &self,
        address: &str,
        upstream: &Upstream,
        order: &Start,
    ) -> impl Future<Output = (StartAnswer, Option<u64>)>;

    /// Stops a run; the error means that it may not have taken effect yet. Gives the upstream's
    /// clock in milliseconds, if it told.
    fn stop(
        &self,
        address: &str,
        upstream: &Upstream,
        task: &Task,
        number: u32,
    ) -> impl Future<Output = Result<Option<u64>, Fault>>;

    /// Lists the runs, and prolongs their lease.
    fn look(
        &self,
        address: &str,
        upstream: &Upstream,
        look: &Look,
    ) -> impl Future<Output = Result<Listing, Fault>>;
}
