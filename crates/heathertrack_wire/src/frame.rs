//! Messages between entry hosts.

mod handover;
mod heartbeat;
mod home;
mod lists;
mod load;
mod loan;
mod needs;
mod submission;
mod task;

pub use handover::{HandedOverRecord, HandedOverTickets, HandoverPart, HandoverReply};
pub use heartbeat::Heartbeat;
pub use home::Home;
pub use lists::{ListText, Lists};
pub use load::{Capacity, FreeSlots, Load};
pub use loan::{Loan, LoanRequest};
pub use needs::Needs;
pub use submission::{Action, Submission};
pub use task::{Task, TaskEnd, TaskReport, job_name};
