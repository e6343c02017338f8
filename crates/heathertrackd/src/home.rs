//! Jobs whose records this process keeps: its own, and those taken over from stopped processes.

mod outcome;
mod requests;
mod start;
mod transfer;

pub use outcome::refusal_problem;
pub use requests::{cancel, parse_deadline, poll, probe, submit, submit_unkeyed};
pub use transfer::{export_records, import_records};

use heathertrack::home::{Clocks, Origin, SubmissionRegistry};
use heathertrack_wire::caller::{Key, Outcome};
use std::sync::Arc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// [`SubmissionRegistry`] with the job handles and outcomes of this crate.
pub type Submissions = SubmissionRegistry<Handle, Arc<Outcome>>;

/// Handle to a running job.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Outcome of the job; `None` while it runs.
    pub outcome: watch::Receiver<Option<Arc<Outcome>>>,
    /// Cancels the job.
    pub cancel: CancellationToken,
}

/// Returns the origin of a key: a ticket, or minted by the caller.
pub fn key_origin(key: &Key) -> Origin {
    match key {
        Key::Ticket(ticket, _) => Origin::Ticket(ticket.clone()),
        Key::Minted(uuid) => Origin::Minted { ms: Key::minted_ms(uuid) },
    }
}

/// Reads the monotonic clock and the wall clock.
pub fn clocks(state: &crate::state::State) -> Clocks {
    Clocks { now: state.now(), wall_ms: state.clock.wall_ms() }
}
