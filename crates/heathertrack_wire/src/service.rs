//! Remote procedure calls between entry hosts.

use crate::caller::Outcome;
use crate::frame::{
    HandoverPart, HandoverReply, Heartbeat, Lists, Load, Loan, LoanRequest, Submission, Task,
    TaskReport,
};

/// Calls that an entry host serves for its peers.
#[tarpc::service]
pub trait Peers {
    /// Receives a heartbeat and replies with its own.
    async fn heartbeat(heartbeat: Heartbeat) -> Heartbeat;
    /// Handles a caller's request about a key whose home this process is. Returns `None` if the
    /// request is meant for another process.
    async fn submit(submission: Submission) -> Option<Outcome>;
    /// Runs a task on one of the upstreams of this host's dispatcher.
    async fn run_task(task: Task) -> TaskReport;
    /// Removes the queued tasks of a cancelled job; running ones continue. `job` is the name from
    /// [`job_name`](crate::frame::job_name).
    async fn cancel_job(job: String);
    /// Receives the load of the peer `host`, which has free slots for tasks that are queued here.
    async fn offer_slots(host: String, load: Load);
    /// Lends a part of this host's share of a customer's allowance. Returns `None` if it lends
    /// nothing.
    async fn borrow(request: LoanRequest) -> Option<Loan>;
    /// Takes back a loan that the borrower repays. `key` is [`Loan::key`].
    async fn repay(customer: String, key: u64);
    /// Returns the plans and allowances in force at this host.
    async fn lists() -> Lists;
    /// Takes over records from a stopping process.
    async fn take_over(part: HandoverPart) -> HandoverReply;
}
