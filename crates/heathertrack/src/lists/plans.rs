use super::{CustomerEntry, TokenDigest};
use crate::name::Customer as Name;
use std::collections::BTreeMap;

/// List of all customers and their plans.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plans {
    /// Entry of each customer.
    pub customers: BTreeMap<Name, CustomerEntry>,
}

impl Plans {
    /// Returns the customer whose token has this digest.
    ///
    /// Compares with every digest in full, so that the running time does not reveal how many bytes
    /// match.
    pub fn by_token(&self, digest: &TokenDigest) -> Option<(&Name, &CustomerEntry)> {
        let mut found = None;
        for (name, customer) in &self.customers {
            for token in &customer.tokens {
                if constant_time_eq(&token.0, &digest.0) {
                    found = Some((name, customer));
                }
            }
        }
        found
    }
}

fn constant_time_eq(a: &[u8; 32], b: &[u8; 32]) -> bool {
    let difference = a.iter().zip(b).fold(0, |sum, (x, y)| sum | (x ^ y));
    std::hint::black_box(difference) == 0
}
