use super::{Home, Load};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A heartbeat, or the reply to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sending process.
    pub from: Home,
    /// Whether the sender is draining and takes no new work.
    pub draining: bool,
    /// Address of the sender's listener for operators.
    pub operators: SocketAddr,
    /// Revision of the plans in force at the sender.
    pub plans: u64,
    /// Revision of the allowances in force at the sender.
    pub allowances: u64,
    /// Revision of the table of seats that the sender last read or wrote.
    pub seats: u64,
    /// Load of the sender's dispatcher. `None` to other data centres.
    pub load: Option<Load>,
    /// Handovers known to the sender, as pairs of the stopped process and its successor.
    pub successions: Vec<(Home, Home)>,
}
