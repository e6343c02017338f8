//! The lists of plans and allowances in force on this host, and how they are updated.

mod active_list;
mod sync;

pub use active_list::ActiveList;
pub use sync::{fetch_if_newer, recompute_shares, spawn};

use heathertrack::lists::{Allowances, Plans};
use heathertrack_wire::frame;
use std::time::Duration;

/// The lists in force on this host.
#[derive(Debug, Default)]
pub struct Lists {
    /// Customers' plans.
    pub plans: ActiveList<Plans>,
    /// Allowance of each plan.
    pub allowances: ActiveList<Allowances>,
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
