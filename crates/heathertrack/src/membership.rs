//! Cluster membership: host states, assignment of roles to hosts, and planned takeovers.

mod catch_up;
mod confirmation;
pub mod depth;
pub mod links;
mod rendezvous;
mod successions;
mod transit;
mod view;

pub use catch_up::CatchUp;
pub use confirmation::{Confirmation, MAX_CONFIRMATION_WAIT, Standing};
pub use rendezvous::rendezvous;
pub use successions::Successions;
pub use transit::TransitEstimate;
pub use view::{Heartbeat, HostState, ListedHost, View};
