use serde::{Deserialize, Serialize};

/// Request to borrow a part of a peer's share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Customer whose share is borrowed.
    pub customer: String,
    /// Number of concurrent tasks requested.
    pub tasks: u32,
    /// Number of task starts requested.
    pub starts: u32,
    /// Duration of the loan, in milliseconds.
    pub term_ms: u64,
}

/// A granted loan of a part of a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Key of the loan at the lender.
    pub key: u64,
    /// Number of concurrent tasks lent.
    pub tasks: u32,
    /// Number of task starts transferred to the borrower.
    pub starts: u32,
}

impl From<heathertrack::share::Loan> for Loan {
    fn from(loan: heathertrack::share::Loan) -> Self {
        Loan { key: loan.key.0, tasks: loan.tasks, starts: loan.starts }
    }
}

impl From<Loan> for heathertrack::share::Loan {
    fn from(loan: Loan) -> Self {
        let key = heathertrack::share::LoanKey(loan.key);
        heathertrack::share::Loan { key, tasks: loan.tasks, starts: loan.starts }
    }
}
