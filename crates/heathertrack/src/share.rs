//! Division of each customer's allowance among hosts, such that their shares never add up to more
//! than the allowance.
//!
//! Each allowance is divided into [`SEATS`] parts, the seats. The platform's store holds one
//! [`SeatTable`] for all allowances, which assigns each seat to a process. The seats of a process
//! give its host a share of every allowance, which it uses without coordination. Unused shares move
//! between hosts as loans: the lender deducts a loan from its own share until the loan is repaid or
//! has expired on the lender's clock.

mod account;
mod gone;
mod loan;
mod seat;
mod seat_manager;
mod seat_table;
mod token_bucket;

pub use account::{Account, Permit};
pub use gone::GoneDetector;
pub use loan::{Loan, LoanKey};
pub use seat::{Holder, SEATS, Seat, seats_share};
pub use seat_manager::SeatManager;
pub use seat_table::{SeatAction, SeatTable};
pub use token_bucket::TokenBucket;
