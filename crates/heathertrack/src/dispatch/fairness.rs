use crate::clock::Time;
use crate::name::Customer;
use std::collections::HashMap;
use std::time::Duration;

/// Number of customers above which entries that are not ahead of the clock are removed.
const MANY: usize = 1_024;

/// Fair queueing between customers: a customer that floods the queue doesn't delay others.
///
/// Each customer has a virtual clock that advances by the work it submits, divided by its fair
/// share of the throughput. Customers within their share are served in order of arrival. Customers
/// above it are delayed behind their own earlier work.
#[derive(Debug, Default)]
pub struct Fairness {
    turns: HashMap<Customer, Time>,
}

/// Position that work gets on its customer's virtual clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Time from which the work may be served.
    pub begin: Time,
    /// Amount by which the work advanced the virtual clock.
    pub charge: Duration,
}

impl Fairness {
    /// Charges `work` to a customer's virtual clock.
    ///
    /// `rate` is the throughput of all slots in nominal seconds of work per second.
    pub fn turn(&mut self, customer: &Customer, work: Duration, rate: f64, now: Time) -> Turn {
        if self.turns.len() > MANY {
            self.turns.retain(|_, turn| *turn > now);
        }
        let busy = self.turns.values().filter(|turn| **turn > now).count().max(1);
        let part = (rate / busy as f64).max(1e-3);
        let turn = self.turns.entry(customer.clone()).or_insert(now);
        let begin = (*turn).max(now);
        let charge = work.div_f64(part);
        *turn = begin + charge;
        Turn { begin, charge }
    }

    /// Refunds the charge for work that leaves the queue unstarted.
    pub fn refund(&mut self, customer: &Customer, charge: Duration) {
        if let Some(turn) = self.turns.get_mut(customer) {
            *turn = *turn - charge;
        }
    }
}
