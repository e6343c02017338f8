//! Connection to one peer.

use arc_swap::ArcSwapOption;
use heathertrack_wire::service::PeersClient;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use tarpc::client::{self, NewClient};
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;
use tokio::sync::Mutex;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit of the size of a message, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;
/// Limit of calls in flight on one connection. Set high, as jobs are limited before they get here.
const MAX_CALLS_IN_FLIGHT: usize = 100_000;
/// Limit of calls queued to be written.
const MAX_CALLS_QUEUED: usize = 1_024;

/// A connection to one peer, opened on first use.
#[derive(Debug)]
pub struct Link {
    address: String,
    /// Client of the open connection, if there is one.
    client: Arc<ArcSwapOption<PeersClient>>,
    /// Held during a connection attempt, so that there is only one at a time.
    connecting: Mutex<()>,
}

/// Result of asking for a connection.
#[derive(Debug)]
pub enum ConnectResult {
    /// The connection is open.
    Connected(PeersClient),
    /// The connection was refused: the peer's process is gone.
    Refused,
    /// The attempt timed out or failed in another way; the peer's process may be running.
    Failed,
}

impl Link {
    /// Creates a link to this address without connecting.
    pub fn new(address: &str) -> Arc<Self> {
        Arc::new(Link {
            address: address.to_owned(),
            client: Arc::default(),
            connecting: Mutex::new(()),
        })
    }

    /// Returns the peer's address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns a client, connecting first if necessary.
    pub async fn client(&self) -> ConnectResult {
        if let Some(client) = self.client.load_full() {
            return ConnectResult::Connected((*client).clone());
        }
        let _one_at_a_time = self.connecting.lock().await;
        if let Some(client) = self.client.load_full() {
            return ConnectResult::Connected((*client).clone());
        }
        self.connect().await
    }

    /// Drops a broken connection. The next call of [`Link::client`] connects again.
    pub fn reset(&self) {
        self.client.store(None);
    }

    async fn connect(&self) -> ConnectResult {
        let mut connect = tcp::connect(&self.address, Bincode::default);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(transport)) => transport,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return ConnectResult::Refused;
            }
            _ => return ConnectResult::Failed,
        };
        let mut config = client::Config::default();
        config.max_in_flight_requests = MAX_CALLS_IN_FLIGHT;
        config.pending_request_buffer = MAX_CALLS_QUEUED;
        let NewClient { client, dispatch } = PeersClient::new(config, transport);
        let opened = Arc::new(client.clone());
        self.client.store(Some(opened.clone()));
        // A client that is referenced here would keep the connection open after a reset.
        let (current, opened) = (self.client.clone(), Arc::downgrade(&opened));
        tokio::spawn(async move {
            // The calls in flight report why the connection has ended.
            let _ = dispatch.await;
            // A call on it would count as one that may have arrived.
            if let Some(ended) = opened.upgrade() {
                current.compare_and_swap(&Some(ended), None);
            }
        });
        ConnectResult::Connected(client)
    }
}
