//! Real processes on loopback that tests start, kill, suspend and partition.

mod cluster;
mod cluster_spec;
mod host;
mod load;
mod ports;
mod process;
mod programs;
mod upstream_process;

pub use cluster::Cluster;
pub use cluster_spec::{ClusterSpec, customers};
pub use host::Host;
pub use load::Load;
pub use ports::{free_address, free_listeners};
pub use process::Process;
pub use programs::Programs;
pub use upstream_process::UpstreamProcess;

use crate::client::Client;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum wait for an expected condition. It only keeps tests from hanging; no test judges speed
/// by it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Polls a condition until it is true. Panics with its description `what` after [`WAIT_TIMEOUT`].
pub async fn eventually<F>(what: &str, mut ask: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let end = std::time::Instant::now() + WAIT_TIMEOUT;
    while std::time::Instant::now() < end {
        if ask().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("timed out after {WAIT_TIMEOUT:?} waiting until {what}");
}

/// Waits until the stand-in of the platform at an address responds.
pub async fn wait_for_platform(address: &SocketAddr) {
    let client = Client::new("");
    eventually("the platform responds", || async {
        client.get::<u64>(address, "/control/calls").await.is_some()
    })
    .await;
}
