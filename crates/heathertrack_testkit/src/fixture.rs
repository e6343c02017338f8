//! Real processes on loopback, started, killed, frozen and cut by tests.

mod cluster;
mod host;
mod load;
mod plan;
mod ports;
mod process;
mod programs;
mod worker;

pub use cluster::Cluster;
pub use host::Host;
pub use load::Load;
pub use plan::{Plan, customers};
pub use ports::{free_address, free_listeners};
pub use process::Process;
pub use programs::Programs;
pub use worker::Worker;

use crate::client::Client;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for something that must come about; a limit on hanging, never a verdict on speed.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Asks again and again until the answer is yes. Panics with `what` when patience ends.
pub async fn eventually<F>(what: &str, mut ask: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let end = std::time::Instant::now() + PATIENCE;
    while std::time::Instant::now() < end {
        if ask().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("in {PATIENCE:?} it did not come about that {what}");
}

/// Waits until the stand-in platform at an address answers.
pub async fn platform_answers(address: &SocketAddr) {
    let client = Client::new("");
    eventually("the platform answers", || async {
        client.get::<u64>(address, "/control/calls").await.is_some()
    })
    .await;
}
