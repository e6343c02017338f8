//! Scheduling of tasks on the upstreams that one host dispatches to: ordering, placement, load
//! estimates and upstream health.

mod admission;
mod attribution;
mod capacity;
mod dispatcher;
mod estimate;
mod fairness;
mod health;
mod load;
mod needs;
mod options;
mod peer_selector;
mod queue;
mod rank;
mod shape;
mod task;
mod upstream;

pub use admission::{Admission, Demand, Refusal};
pub use capacity::Capacity;
pub use dispatcher::{Assignment, Dispatcher, RunKey};
pub use estimate::Estimates;
pub use fairness::{Charge, Fairness};
pub use health::{Eligibility, Health};
pub use load::{FreeSlots, Load};
pub use needs::Needs;
pub use options::{Objective, Options, PlacementPolicy};
pub use peer_selector::{PeerSelector, Target};
pub use queue::{Queue, QueueKey, Walk};
pub use rank::Rank;
pub use shape::Shape;
pub use task::Task;
pub use upstream::{ExpectedEnd, Spec, Upstream, UpstreamKey};

use attribution::Attribution;

/// Outcome of a run, as reported to the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The upstream reported success.
    Succeeded,
    /// The upstream reported a failure, or the connection was lost after data may have been sent.
    Failed,
    /// No data was sent to the upstream.
    Unsent,
    /// This host gave up the run, which says nothing about the upstream's health.
    Abandoned,
}
