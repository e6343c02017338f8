//! The jobs whose records this process keeps: its own, and those that it took over.

mod errand;
mod outcome;
mod parting;
mod start;

pub use errand::{cancel, deadline, look, probe, submit, submit_unkeyed};
pub use outcome::refused_problem;
pub use parting::{adopt, part};

use heathertrack::home::{Clocks, Desk, Origin};
use heathertrack_wire::caller::{Key, Outcome};
use std::sync::Arc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// The desk of one process.
pub type Records = Desk<Handle, Arc<Outcome>>;

/// A handle to a running job.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Its outcome, once there is one.
    pub outcome: watch::Receiver<Option<Arc<Outcome>>>,
    /// Cancels it.
    pub cancel: CancellationToken,
}

/// Where a caller's key comes from.
pub fn origin(key: &Key) -> Origin {
    match key {
        Key::Ticket(ticket, _) => Origin::Ticket(ticket.clone()),
        Key::Minted(uuid) => Origin::Minted { ms: Key::minted_ms(uuid) },
    }
}

/// Both clocks now.
pub fn clocks(state: &crate::state::State) -> Clocks {
    Clocks { now: state.now(), wall_ms: state.clock.wall_ms() }
}
