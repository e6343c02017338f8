//! Stand-ins of the users' platform: its store, its workers and its clients, with entry hosts as
//! processes of their own on loopback addresses.

pub mod caller;
pub mod deployment;
pub mod fleet;
pub mod http;
pub mod record;
pub mod store;
pub mod verdict;
pub mod worker;

/// Host name of all routes.
pub const ROUTE_HOST: &str = "shop.example";
/// Path prefix of the queue.
pub const ROUTE_PREFIX: &str = "/jobs/";
/// Name of the service that runs the queue's tasks.
pub const SERVICE: &str = "desk";

/// Returns whether the case is to play its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
