use crate::CallError;
use heathertrack::name::Upstream;
use heathertrack::pool::{Listing, StartAnswer, Task};
use std::sync::Arc;
use std::time::Duration;

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Task to start.
    pub task: Task,
    /// Number of the run, counted per task.
    pub number: u32,
    /// Specification of the work, as given by the caller.
    pub spec: Arc<str>,
    /// End of the lease on the upstream's clock, in milliseconds. The run may not begin after this
    /// instant.
    pub lease_end_ms: u64,
}

/// A poll of an upstream's runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// New end of the lease of all runs on the upstream, on its clock in milliseconds; `None`
    /// renews no lease.
    pub lease_end_ms: Option<u64>,
    /// Sequence number up to which the dispatcher has processed the ends of runs, so that the
    /// upstream may discard them.
    pub acknowledged: u64,
    /// Time that the upstream may wait for a run to end before it responds.
    pub wait: Duration,
}

/// Client of the upstreams' run API. Each call names the upstream expected at `address`; any other
/// process there rejects it.
pub trait UpstreamClient: Clone + 'static {
    /// Starts a run. Also returns the reading of the upstream's clock in milliseconds, if the
    /// response has it.
    fn start(
        &self,
        address: &str,
        upstream: &Upstream,
        order: &StartOrder,
    ) -> impl Future<Output = (StartAnswer, Option<u64>)>;

    /// Stops a run; after an error the run may still continue. Returns the reading of the
    /// upstream's clock in milliseconds, if the response has it.
    fn stop(
        &self,
        address: &str,
        upstream: &Upstream,
        task: &Task,
        number: u32,
    ) -> impl Future<Output = Result<Option<u64>, CallError>>;

    /// Polls an upstream: lists its runs and renews their lease, if `poll` says so.
    fn poll(
        &self,
        address: &str,
        upstream: &Upstream,
        poll: &Poll,
    ) -> impl Future<Output = Result<Listing, CallError>>;
}
