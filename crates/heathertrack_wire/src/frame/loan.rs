use serde::{Deserialize, Serialize};

/// Asks a peer for a part of its share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The customer.
    pub customer: String,
    /// Tasks at once.
    pub tasks: u32,
    /// Starts.
    pub starts: u32,
    /// How long, in milliseconds.
    pub term_ms: u64,
}

/// A part of a share on loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Its name at the lender.
    pub key: u64,
    /// Tasks at once.
    pub tasks: u32,
    /// Starts given away.
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
