//! Runs the stand-in of an upstream as a separate process.

use argh::FromArgs;
use heathertrack_testkit::upstream::{Setting, Upstream};
use std::net::SocketAddr;

/// Stands in for an upstream.
#[derive(FromArgs)]
struct Arguments {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// number of tasks that run at once
    #[argh(option, default = "8")]
    slots: usize,
    /// how many times longer a task takes than at nominal speed
    #[argh(option, default = "1.0")]
    slowness: f64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let arguments: Arguments = argh::from_env();
    let setting = Setting::default().slowness(arguments.slowness);
    Upstream::new(arguments.slots, setting).serve(arguments.listen).await
}
