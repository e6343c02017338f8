use crate::name::Customer;
use std::sync::Arc;

/// Identifies a submission: a customer and the idempotency key that it used.
///
/// The text goes first, so that all customers' records of one text stand together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The idempotency key as the customer wrote it.
    pub text: Arc<str>,
    /// The customer who submitted.
    pub customer: Customer,
}

impl Key {
    /// Joins a customer and its idempotency key.
    pub fn new(customer: impl AsRef<str>, text: impl AsRef<str>) -> Self {
        Key { customer: Customer::new(customer), text: Arc::from(text.as_ref()) }
    }
}
