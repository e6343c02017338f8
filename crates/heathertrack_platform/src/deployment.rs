use heathertrack::name::{DataCentre, Host};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Settings of an entry host on a platform whose upstreams run tasks under leases.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Name of this host.
    pub name: Host,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the host takes callers.
    pub ready: SocketAddr,
    /// Where other entry hosts connect.
    pub peers: SocketAddr,
    /// The host's own IP number.
    pub ip: IpAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Peer addresses of some entry hosts; they may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Share of a core that this host has.
    pub cpu_share: f64,
    /// Time between a planned stop's signal and the end of the process.
    pub grace: Duration,
}
