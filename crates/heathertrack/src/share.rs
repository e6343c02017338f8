//! A customer's allowance, split over hosts so that the sum of the parts never exceeds it.
//!
//! An allowance is cut into [`SEATS`] seats. The platform's store holds the [`Table`] of who has
//! which seat; a host's seats give it a part of every allowance, which it uses without asking
//! anybody. Parts that lie unused move between hosts as loans, which the lender takes off its own
//! part until they are repaid or have lapsed on its own clock.

mod account;
mod bucket;
mod keeper;
mod loan;
mod seat;
mod table;

pub use account::{Account, Permit};
pub use bucket::Bucket;
pub use keeper::Keeper;
pub use loan::{Loan, LoanKey};
pub use seat::{Holder, SEATS, Seat, portion};
pub use table::{Duty, Table};
