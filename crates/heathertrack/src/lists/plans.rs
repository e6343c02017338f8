use super::{Customer, TokenDigest};
use crate::name::Customer as Name;
use std::collections::BTreeMap;

/// The list of customers' plans.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plans {
    /// Entry by customer.
    pub customers: BTreeMap<Name, Customer>,
}

impl Plans {
    /// The customer whose token has this digest.
    ///
    /// Every digest is compared in full, so the time taken tells nothing of how much matched.
    pub fn by_token(&self, digest: &TokenDigest) -> Option<(&Name, &Customer)> {
        let mut found = None;
        for (name, customer) in &self.customers {
            for token in &customer.tokens {
                if same(&token.0, &digest.0) {
                    found = Some((name, customer));
                }
            }
        }
        found
    }
}

fn same(a: &[u8; 32], b: &[u8; 32]) -> bool {
    let difference = a.iter().zip(b).fold(0, |sum, (x, y)| sum | (x ^ y));
    std::hint::black_box(difference) == 0
}
