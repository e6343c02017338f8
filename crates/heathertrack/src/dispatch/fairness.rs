use super::load::MIN_RATE;
use crate::clock::Time;
use crate::name::Customer;
use std::collections::HashMap;
use std::time::Duration;

/// Number of customers above which those whose virtual clock is not ahead of real time are removed.
const PRUNE_THRESHOLD: usize = 1_024;

/// Fair queueing between customers: a customer that floods the queue doesn't delay others.
///
/// Each customer has a virtual clock, which advances by the work that the customer submits, divided
/// by its fair share of the throughput. Customers within their share are served in order of
/// arrival. Customers above it are delayed behind their own earlier work.
#[derive(Debug, Default)]
pub struct Fairness {
    virtual_times: HashMap<Customer, Time>,
}

/// Position that work gets on its customer's virtual clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    /// Time from which the work may be served.
    pub start: Time,
    /// Amount by which the work advanced the virtual clock.
    pub amount: Duration,
}

impl Fairness {
    /// Charges `work` to a customer's virtual clock.
    ///
    /// `rate` is the throughput of all slots in nominal seconds of work per second.
    pub fn charge(&mut self, customer: &Customer, work: Duration, rate: f64, now: Time) -> Charge {
        if self.virtual_times.len() > PRUNE_THRESHOLD {
            self.virtual_times.retain(|_, time| *time > now);
        }
        let active = self.virtual_times.values().filter(|time| **time > now).count().max(1);
        let share = (rate / active as f64).max(MIN_RATE);
        let time = self.virtual_times.entry(customer.clone()).or_insert(now);
        let start = (*time).max(now);
        let amount = work.div_f64(share);
        *time = start + amount;
        Charge { start, amount }
    }

    /// Refunds the charge for work that will not be done here.
    pub fn refund(&mut self, customer: &Customer, amount: Duration) {
        if let Some(time) = self.virtual_times.get_mut(customer) {
            *time = *time - amount;
        }
    }
}
