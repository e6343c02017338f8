use crate::name::Customer;
use std::sync::Arc;

/// Identity of a submission: a customer and its idempotency key.
///
/// `text` is the first field, so that the records of all customers that used one text are adjacent
/// in key order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Idempotency key as the customer sent it.
    pub text: Arc<str>,
    /// The customer who submitted.
    pub customer: Customer,
}

impl Key {
    /// Creates a key from a customer and its idempotency key.
    pub fn new(customer: impl AsRef<str>, text: impl AsRef<str>) -> Self {
        Key { customer: Customer::new(customer), text: Arc::from(text.as_ref()) }
    }
}
