use crate::ticket::Ticket;

/// Where a key comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Under a ticket, which names the home.
    Ticket(Ticket),
    /// Minted by its caller at this wall time, in Unix milliseconds; claimed in the store.
    Minted {
        /// When it was minted.
        ms: u64,
    },
}
