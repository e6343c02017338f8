use crate::clock::Time;

/// Names a loan at its lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanKey(pub u64);

/// A part of an allowance on loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Its name at the lender.
    pub key: LoanKey,
    /// Tasks at once.
    pub tasks: u32,
    /// Starts.
    pub starts: u32,
}

/// A loan as its borrower keeps it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Borrowed<L> {
    pub lender: L,
    pub key: LoanKey,
    pub tasks: u32,
    pub used: u32,
    /// Starts left.
    pub starts: u32,
    /// End on the borrower's clock, counted from before the request was sent.
    pub until: Time,
    pub last_used: Time,
}
