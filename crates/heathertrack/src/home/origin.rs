use crate::ticket::Ticket;

/// Where a key comes from, which determines how its home is found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Submitted under a ticket, which names the home.
    Ticket(Ticket),
    /// Minted by the caller; the home is the process that claimed the key in the store.
    Minted {
        /// Wall time at which the caller minted the key, in Unix milliseconds.
        ms: u64,
    },
}
