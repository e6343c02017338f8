//! Stand-ins, fixtures and an oracle for tests and measurements.
//!
//! The stand-ins of the platform and of an upstream run as processes of their own (examples
//! `platform` and `upstream`) and take faults over HTTP while they run.
//!
//! ```no_run
//! use heathertrack_testkit::fixture::{Cluster, Plan};
//!
//! # async fn example() {
//! let cluster = Cluster::start(Plan::default()).await;
//! let caller = cluster.caller("kadriorg-crafts");
//! let answer = caller.submit(&cluster.hosts[0].callers, None, &cluster.job(1, 50)).await;
//! assert_eq!(answer.status, 200);
//! # }
//! ```

pub mod client;
pub mod fixture;
pub mod oracle;
pub mod platform;
pub mod precise;
pub mod relay;
pub mod server;
pub mod upstream;

/// Wall time in Unix microseconds; the same for all processes of a test.
pub fn wall_us() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |span| u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
}
