//! Stand-ins, process fixtures and an oracle for tests and measurements.
//!
//! The stand-ins of the platform and of an upstream run as separate processes (the examples
//! `platform` and `upstream`) and accept faults over HTTP at run time.
//!
//! ```no_run
//! use heathertrack_testkit::fixture::{Cluster, ClusterSpec};
//!
//! # async fn example() {
//! let cluster = Cluster::start(ClusterSpec::default()).await;
//! let caller = cluster.caller("kadriorg-crafts");
//! let answer = caller.submit(&cluster.hosts[0].caller_address, None, &cluster.job(1, 50)).await;
//! assert_eq!(answer.status, 200);
//! # }
//! ```

pub mod client;
pub mod fixture;
pub mod oracle;
pub mod platform;
pub mod precise_timer;
pub mod relay;
pub mod server;
pub mod upstream;

/// Returns the wall-clock time in Unix microseconds, which all processes of a test share.
pub fn wall_clock_us() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |span| u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
}
