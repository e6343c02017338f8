//! The two lists that operators edit: the customers with their plans, and the allowances of the
//! plans.

mod allowance;
mod book;
mod customer;
mod plans;

pub use allowance::{Allowance, Allowances};
pub use book::{ListVersions, Revision, Versioned};
pub use customer::{CustomerEntry, TokenDigest};
pub use plans::Plans;
