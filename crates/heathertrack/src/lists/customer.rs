use crate::name::Plan;

/// SHA-256 of a customer's token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TokenDigest(pub [u8; 32]);

/// Entry of one customer in the list of customers' plans.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerEntry {
    /// Plan of the customer.
    pub plan: Plan,
    /// Digests of the customer's valid tokens.
    pub tokens: Vec<TokenDigest>,
    /// Worth of the customer's jobs, a weight in the dispatcher's objective; 1 is normal.
    pub worth: f64,
}
