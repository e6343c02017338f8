//! Status that an entry host reports to operators.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Status of an entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the host.
    pub host: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Incarnation of the process.
    pub incarnation: String,
    /// Lifecycle phase: `serving`, `notice`, `draining` or `parted`. In `notice`, the health check
    /// fails, but the host still takes new work. In `parted`, its records are handed over or gone.
    pub phase: String,
    /// Whether the host is ready for callers.
    pub ready: bool,
    /// Plans in force.
    pub plans: List,
    /// Allowances in force.
    pub allowances: List,
    /// Number of seats that the host may use.
    pub seats: usize,
    /// Number of job records.
    pub records: usize,
    /// Number of tasks queued for an upstream.
    pub waiting: usize,
    /// Number of tasks running on upstreams.
    pub running: usize,
    /// Other entry hosts, as seen by this host.
    pub hosts: Vec<Host>,
    /// Upstreams of this host's dispatcher.
    pub upstreams: Vec<Upstream>,
    /// Customers and their usage on this host.
    pub customers: Vec<Customer>,
}

/// State of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Revision in force. Zero if no list is in force.
    pub revision: u64,
    /// Errors found in a newer revision, which was rejected. `None` if there are none.
    pub faults: Option<String>,
}

/// Another entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Address of the listener for peers.
    pub address: String,
    /// Address of the listener for operators, if a heartbeat from the host was received.
    pub operators: Option<SocketAddr>,
    /// `alive`, `draining` or `silent` (unresponsive).
    pub state: String,
}

/// Status of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: String,
    /// Address of the upstream.
    pub address: String,
    /// `good`, `ejected`, `on trial`, `unreachable` or `leaving`.
    pub state: String,
    /// Ratio of run time to that at nominal speed; 2 is half as fast.
    pub slowness: f64,
    /// Number of tasks that this host runs on it.
    pub running: usize,
    /// Maximum number of concurrent tasks.
    pub slots: u32,
}

/// Usage of a customer's allowance on this host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name of the customer.
    pub name: String,
    /// Plan of the customer.
    pub plan: String,
    /// This host's share of the allowance, in concurrent tasks.
    pub share: u32,
    /// Number of tasks in flight.
    pub out: u32,
    /// Number of tasks waiting for a permit.
    pub waiting: usize,
    /// Number of concurrent tasks borrowed from other hosts.
    pub borrowed: u32,
}
