use crate::name::Plan;

/// SHA-256 of a customer's token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TokenDigest(pub [u8; 32]);

/// An entry of the list of customers' plans.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// The plan.
    pub plan: Plan,
    /// Digests of the tokens that the customer may use.
    pub tokens: Vec<TokenDigest>,
    /// Worth of the customer's requests; 1 is ordinary.
    pub worth: f64,
}
