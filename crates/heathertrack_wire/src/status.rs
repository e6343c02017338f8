//! What a host tells operators of itself.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The status of one entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub host: String,
    /// Its data centre.
    pub data_centre: String,
    /// The process.
    pub incarnation: String,
    /// How far it is on its way to its end: `serving`, `notice`, `draining` or `parted`.
    pub phase: String,
    /// Whether callers may be sent to it.
    pub ready: bool,
    /// Customers' plans in force.
    pub plans: List,
    /// Allowances in force.
    pub allowances: List,
    /// Seats in use.
    pub seats: usize,
    /// Jobs recorded.
    pub records: usize,
    /// Tasks waiting for an upstream.
    pub waiting: usize,
    /// Tasks running on upstreams.
    pub running: usize,
    /// The other entry hosts as it sees them.
    pub hosts: Vec<Host>,
    /// Upstreams that it dispatches to.
    pub upstreams: Vec<Upstream>,
    /// Customers with what they use here.
    pub customers: Vec<Customer>,
}

/// A list in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Its revision; zero if there is none.
    pub revision: u64,
    /// Findings in a newer list that was refused.
    pub faults: Option<String>,
}

/// Another entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Address of its peers' listener.
    pub address: String,
    /// Its address for operators, if it was heard.
    pub operators: Option<SocketAddr>,
    /// `alive`, `draining` or `silent`.
    pub state: String,
}

/// An upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// `good`, `ejected`, `on trial`, `unreachable` or `leaving`.
    pub state: String,
    /// How many times slower than ordinary.
    pub slowness: f64,
    /// Tasks running from this host.
    pub running: usize,
    /// Tasks that it runs at once.
    pub slots: u32,
}

/// A customer's use of its allowance on this host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name.
    pub name: String,
    /// Its plan.
    pub plan: String,
    /// This host's part of its allowance, in tasks at once.
    pub share: u32,
    /// Tasks out.
    pub out: u32,
    /// Tasks waiting for a permit.
    pub waiting: usize,
    /// Tasks at once held on loan.
    pub borrowed: u32,
}
