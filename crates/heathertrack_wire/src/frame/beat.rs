use super::{Home, Load};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A heartbeat, and the answer to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// The sending process.
    pub from: Home,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Its address for operators.
    pub operators: SocketAddr,
    /// Revision of the plans that it has in force.
    pub plans: u64,
    /// Revision of the allowances that it has in force.
    pub allowances: u64,
    /// Revision of the table of seats that it read or wrote last.
    pub seats: u64,
    /// How busy its dispatcher is; only within a data centre.
    pub load: Option<Load>,
    /// Which process took over from which.
    pub successions: Vec<(Home, Home)>,
}
