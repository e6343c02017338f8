//! Permit that is returned to the gate on drop.

use super::Gate;
use heathertrack::name::{Customer, Host};
use heathertrack::share::Permit as AccountPermit;
use std::sync::Arc;

/// A customer's permit for one task; returned to the gate when dropped.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<Gate>,
    customer: Customer,
    /// What the permit was taken from: this host's own share or a loan.
    account_permit: AccountPermit<Host>,
}

impl Permit {
    pub(super) fn new(
        gate: Arc<Gate>,
        customer: Customer,
        account_permit: AccountPermit<Host>,
    ) -> Self {
        Permit { gate, customer, account_permit }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.release(&self.customer, &self.account_permit);
    }
}
