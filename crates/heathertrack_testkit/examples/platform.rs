//! Runs the stand-in of the platform as a separate process.

use argh::FromArgs;
use heathertrack_testkit::platform::Platform;
use std::net::SocketAddr;

/// Stands in for the platform's key-value store and host list.
#[derive(FromArgs)]
struct Arguments {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let arguments: Arguments = argh::from_env();
    Platform::default().serve(arguments.listen).await
}
