//! Asks entry hosts at their operators' addresses.

use heathertrack_platform::{Client, Fault};
use heathertrack_wire::status::Status;
use hyper::{Method, StatusCode, Uri};
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(2);

/// What one host has in force.
#[derive(Debug)]
pub struct Revision {
    address: SocketAddr,
    name: Option<String>,
    /// Revision of the list; `None` if the host does not answer.
    pub revision: Option<u64>,
}

impl Revision {
    /// Name and address, with what is there.
    pub fn label(&self) -> String {
        match (&self.name, self.revision) {
            (Some(name), Some(revision)) => format!("{name} (revision {revision})"),
            _ => format!("{} (does not answer)", self.address),
        }
    }
}

/// The status of a host.
pub async fn status(address: &SocketAddr) -> Result<Status, Fault> {
    let uri: Uri = format!("http://{address}/status")
        .parse()
        .map_err(|error| Fault::Unreachable(format!("{error}")))?;
    let client = Client::open(TIMEOUT);
    let (status, body) = client.call(Method::GET, &uri, Vec::new()).await?;
    if status != StatusCode::OK {
        return Err(Fault::BadAnswer(format!("status {status}")));
    }
    serde_json::from_slice(&body).map_err(|error| Fault::BadAnswer(error.to_string()))
}

/// Revisions of a list on all these hosts.
pub async fn revisions(addresses: &[SocketAddr], list: &str) -> Vec<Revision> {
    let mut revisions = Vec::new();
    for address in addresses {
        let status = status(address).await.ok();
        let revision = status.as_ref().map(|status| match list {
            "plans" => status.plans.revision,
            _ => status.allowances.revision,
        });
        let name = status.map(|status| status.host);
        revisions.push(Revision { address: *address, name, revision });
    }
    revisions
}
