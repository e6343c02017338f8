//! Client for the operators' endpoints of entry hosts.

mod fleet;

pub use fleet::{Fleet, HostRevision};

use heathertrack_platform::{CallError, Client};
use heathertrack_wire::status::Status;
use hyper::{Method, StatusCode, Uri};
use std::net::SocketAddr;
use std::time::Duration;

/// Time to wait for the response of a host.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Fetches the status of a host.
pub async fn fetch_status(address: &SocketAddr) -> Result<Status, CallError> {
    let uri: Uri = format!("http://{address}/status")
        .parse()
        .map_err(|error| CallError::Unreachable(format!("{error}")))?;
    let client = Client::new(TIMEOUT);
    let (status, body) = client.call(Method::GET, &uri, Vec::new()).await?;
    if status != StatusCode::OK {
        return Err(CallError::BadResponse(format!("status {status}")));
    }
    serde_json::from_slice(&body).map_err(|error| CallError::BadResponse(error.to_string()))
}
