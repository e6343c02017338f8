//! The platform's list of hosts.

use heathertrack::dispatch::{Needs, Spec};
use heathertrack::membership::ListedHost;
use heathertrack::name::{DataCentre, Host, Upstream};
use serde::{Deserialize, Serialize};

/// The entry hosts and upstreams that the platform lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Revision of the list. Increases with every change.
    pub revision: u64,
    /// The entry hosts and the upstreams.
    pub hosts: Vec<HostListEntry>,
}

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostListEntry {
    /// Name of the host.
    pub name: String,
    /// Address as `ip:port`. For an entry host, the address of its listener for peers.
    pub address: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Rack of the host.
    #[serde(default)]
    pub rack: String,
    /// Role of the host.
    pub role: Role,
    /// Whether the host remains in service or is about to leave.
    pub state: State,
    /// Maximum number of concurrent tasks of an upstream.
    #[serde(default)]
    pub slots: u32,
    /// Maximum number of connections that an upstream accepts.
    #[serde(default)]
    pub connections: u32,
    /// Number of processor cores of an upstream's worker.
    #[serde(default)]
    pub cores: u32,
    /// Memory of an upstream's worker, in MB.
    #[serde(default)]
    pub memory_mb: u32,
    /// Number of accelerators of an upstream's worker.
    #[serde(default)]
    pub accelerators: u32,
}

/// Role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry host, which runs the dispatcher.
    Entry,
    /// An upstream, which runs tasks.
    Upstream,
}

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The host remains in service.
    Live,
    /// The host is about to leave and gets no new work.
    Leaving,
}

impl From<&HostListEntry> for ListedHost {
    fn from(listed: &HostListEntry) -> Self {
        ListedHost {
            host: Host::new(&listed.name),
            data_centre: DataCentre::new(&listed.data_centre),
            address: listed.address.clone(),
            leaving: listed.state == State::Leaving,
        }
    }
}

impl From<&HostListEntry> for Spec {
    fn from(listed: &HostListEntry) -> Self {
        Spec {
            name: Upstream::new(&listed.name),
            address: listed.address.clone(),
            slots: listed.slots,
            connections: listed.connections,
            size: Needs {
                cores: listed.cores,
                memory_mb: listed.memory_mb,
                accelerators: listed.accelerators,
            },
            leaving: listed.state == State::Leaving,
        }
    }
}
