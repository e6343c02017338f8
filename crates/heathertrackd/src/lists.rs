//! The lists of plans and allowances in force on this host, and how they are updated.

mod follow;
mod side;

pub use follow::{fetch_if_newer, spawn, split};
pub use side::Side;

use heathertrack::lists::{Allowances, Plans};
use heathertrack_wire::frame;
use std::time::Duration;

/// The lists in force on this host.
#[derive(Debug, Default)]
pub struct Lists {
    /// Customers' plans.
    pub plans: Side<Plans>,
    /// Allowance of each plan.
    pub allowances: Side<Allowances>,
}

impl Lists {
    /// Returns whether both lists are known.
    pub fn are_known(&self) -> bool {
        self.plans.current().is_some() && self.allowances.current().is_some()
    }

    /// Returns the longest deadline that any plan allows.
    pub fn longest_deadline(&self) -> Duration {
        let allowances = self.allowances.current();
        allowances.map(|current| current.value.longest_deadline()).unwrap_or_default()
    }

    /// Returns both lists as a message to a peer.
    pub fn frame(&self) -> frame::Lists {
        frame::Lists { plans: self.plans.frame(), allowances: self.allowances.frame() }
    }
}
