//! The two lists that operators edit: the customers with their plans, and the allowances of the
//! plans.

mod allowance;
mod customer;
mod list_versions;
mod plans;

pub use allowance::{Allowance, Allowances};
pub use customer::{CustomerEntry, TokenDigest};
pub use list_versions::{ListVersions, Revision, Versioned};
pub use plans::Plans;
