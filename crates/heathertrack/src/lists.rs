//! The two lists that operators edit: customers' plans, and what each plan may use.

mod allowance;
mod book;
mod customer;
mod plans;

pub use allowance::{Allowance, Allowances};
pub use book::{Book, Revision, Versioned};
pub use customer::{Customer, TokenDigest};
pub use plans::Plans;
