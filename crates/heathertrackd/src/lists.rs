//! The two lists in force on this host, and where they come from.

mod follow;
mod side;

pub use follow::{fetch_if_newer, spawn, split};
pub use side::Side;

use heathertrack::lists::{Allowances, Plans};
use heathertrack_wire::frame;
use std::time::Duration;

/// Both lists as they are in force here.
#[derive(Debug, Default)]
pub struct Lists {
    /// Customers' plans.
    pub plans: Side<Plans>,
    /// What each plan may use.
    pub allowances: Side<Allowances>,
}

impl Lists {
    /// Whether both lists are known.
    pub fn are_known(&self) -> bool {
        self.plans.current().is_some() && self.allowances.current().is_some()
    }

    /// Longest deadline that any plan allows.
    pub fn longest_deadline(&self) -> Duration {
        let allowances = self.allowances.current();
        allowances.map(|current| current.value.longest_deadline()).unwrap_or_default()
    }

    /// Both lists, for a peer.
    pub fn frame(&self) -> frame::Lists {
        frame::Lists { plans: self.plans.frame(), allowances: self.allowances.frame() }
    }
}
