use heathertrack::intake::Machine;
use heathertrack::name::{DataCentre, Host};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Settings of an entry host on a platform whose upstreams run tasks under leases.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Name of this host.
    pub name: Host,
    /// Data centre of this host.
    pub data_centre: DataCentre,
    /// Listen address for callers.
    pub callers_address: SocketAddr,
    /// Listen address of the readiness check, which the load balancer calls.
    pub readiness_address: SocketAddr,
    /// Listen address for other entry hosts.
    pub peers_address: SocketAddr,
    /// IP address of this host, without a port.
    pub ip: IpAddr,
    /// Address of the platform's metadata store.
    pub store_address: SocketAddr,
    /// Addresses of some entry hosts for other entry hosts; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// CPU available to this host, in cores.
    pub cpu_share: f64,
    /// Memory and descriptors of this process.
    pub machine: Machine,
    /// Time between the signal of a planned stop and the end of the process.
    pub grace: Duration,
    /// Time after the acknowledgement of a configuration within which it must be in force.
    pub configuration_time: Duration,
}
