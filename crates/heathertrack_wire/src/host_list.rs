//! The platform's list of hosts.

use heathertrack::dispatch::{Needs, Spec};
use heathertrack::membership::Entry;
use heathertrack::name::{DataCentre, Host, Upstream};
use serde::{Deserialize, Serialize};

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Grows with every change.
    pub revision: u64,
    /// All hosts.
    pub hosts: Vec<Listed>,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Its address, `ip:port`: of an entry host its peers' listener.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its rack.
    #[serde(default)]
    pub rack: String,
    /// What it is.
    pub role: Role,
    /// Whether it stays.
    pub state: State,
    /// Tasks that it runs at once.
    #[serde(default)]
    pub slots: u32,
    /// Connections that it takes.
    #[serde(default)]
    pub connections: u32,
    /// Processor cores.
    #[serde(default)]
    pub cores: u32,
    /// Memory in MB.
    #[serde(default)]
    pub memory_mb: u32,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

/// What a host is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It runs this system.
    Entry,
    /// It runs tasks.
    Upstream,
}

/// Whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It stays.
    Live,
    /// It is leaving.
    Leaving,
}

impl From<&Listed> for Entry {
    fn from(listed: &Listed) -> Self {
        Entry {
            host: Host::new(&listed.name),
            data_centre: DataCentre::new(&listed.data_centre),
            address: listed.address.clone(),
            leaving: listed.state == State::Leaving,
        }
    }
}

impl From<&Listed> for Spec {
    fn from(listed: &Listed) -> Self {
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
