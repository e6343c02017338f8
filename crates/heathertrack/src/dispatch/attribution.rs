use super::UpstreamKey;
use crate::name::Customer;
use std::collections::HashMap;

/// Tells failures that an upstream causes from those that a customer's own tasks cause.
///
/// A customer's failures are laid on upstreams until its tasks have failed, without a success
/// between, on more upstreams than may be ejected at once. From then on they say nothing about an
/// upstream, until a task of the customer succeeds.
#[derive(Debug, Default)]
pub struct Attribution {
    /// Upstreams on which the tasks of each customer have failed since its last success.
    failed_at: HashMap<Customer, Failures>,
}

#[derive(Debug, Default)]
struct Failures {
    upstreams: Vec<UpstreamKey>,
    /// Whether there were more upstreams than may be ejected at once.
    is_own: bool,
}

impl Attribution {
    /// Records a success of a customer's task.
    pub fn record_success(&mut self, customer: &Customer) {
        self.failed_at.remove(customer);
    }

    /// Records a failure of a customer's task. Returns whether it is laid on the upstream, of which
    /// at most `max_ejected` may be ejected at once.
    pub fn record_failure(
        &mut self,
        customer: &Customer,
        at: UpstreamKey,
        max_ejected: usize,
    ) -> bool {
        let failures = self.failed_at.entry(customer.clone()).or_default();
        if !failures.is_own && !failures.upstreams.contains(&at) {
            failures.is_own = failures.upstreams.len() >= max_ejected;
            failures.upstreams.push(at);
        }
        !failures.is_own
    }

    /// Returns whether a customer's tasks fail by their own fault.
    pub fn fails_everywhere(&self, customer: &Customer) -> bool {
        self.failed_at.get(customer).is_some_and(|failures| failures.is_own)
    }
}
