//! Permit that is returned to the gate on drop.

use super::Gate;
use heathertrack::name::{Customer, Host};
use heathertrack::share::Permit as Taken;
use std::sync::Arc;

/// A customer's permit for one task; returned to the gate when dropped.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<Gate>,
    customer: Customer,
    /// What the permit was taken from: this host's own share or a loan.
    taken: Taken<Host>,
}

impl Permit {
    pub(super) fn new(gate: Arc<Gate>, customer: Customer, taken: Taken<Host>) -> Self {
        Permit { gate, customer, taken }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.release(&self.customer, &self.taken);
    }
}
