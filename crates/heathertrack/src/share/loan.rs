use crate::clock::Time;

/// Identifier of a loan, unique at its lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanKey(pub u64);

/// Part of an allowance that one host lends to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Identifier at the lender.
    pub key: LoanKey,
    /// Number of concurrent tasks.
    pub tasks: u32,
    /// Number of task starts.
    pub starts: u32,
}

/// A loan at its borrower.
#[derive(Clone, Copy, Debug)]
pub(super) struct Borrowed<L> {
    pub lender: L,
    pub key: LoanKey,
    /// Number of concurrent tasks.
    pub tasks: u32,
    /// Tasks in flight on this loan.
    pub in_flight: u32,
    /// Task starts that are left.
    pub starts: u32,
    /// Expiry on the borrower's clock. The term counts from before the request was sent, so it ends
    /// no later than at the lender.
    pub until: Time,
    /// Last time at which a task started or ended on this loan; at first, when it was requested.
    pub last_used: Time,
}
