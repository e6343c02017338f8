//! Messages between entry hosts.

mod beat;
mod hand_over;
mod home;
mod lists;
mod load;
mod loan;
mod needs;
mod submission;
mod task;

pub use beat::Beat;
pub use hand_over::{Acceptance, HandOver, PartedRecord, PartedTickets};
pub use home::Home;
pub use lists::{ListText, Lists};
pub use load::{Capacity, FreeSlots, Load};
pub use loan::{Loan, LoanRequest};
pub use needs::Needs;
pub use submission::{Action, Submission};
pub use task::{Task, TaskEnd, TaskReport, job_name};
