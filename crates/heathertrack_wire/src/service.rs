//! The calls between entry hosts.

use crate::caller::Outcome;
use crate::frame::{
    Acceptance, Beat, HandOver, Lists, Load, Loan, LoanRequest, Submission, Task, TaskReport,
};

/// What an entry host does for its peers.
#[tarpc::service]
pub trait Peers {
    /// Hears a heartbeat and answers with its own.
    async fn beat(beat: Beat) -> Beat;
    /// Takes a caller's request for a key whose record it keeps. `None`: it is another process.
    async fn submit(submission: Submission) -> Option<Outcome>;
    /// Runs a task on an upstream that it dispatches to.
    async fn run(task: Task) -> TaskReport;
    /// Drops the waiting tasks of a job that was cancelled.
    async fn cancel_job(job: String);
    /// Hears of free slots; it may send waiting tasks for them.
    async fn offer(host: String, load: Load);
    /// Lends a part of its share.
    async fn borrow(request: LoanRequest) -> Option<Loan>;
    /// Takes a loan back.
    async fn repay(customer: String, key: u64);
    /// Tells the lists that it has in force.
    async fn lists() -> Lists;
    /// Takes over records from a process that stops.
    async fn take_over(part: HandOver) -> Acceptance;
}
