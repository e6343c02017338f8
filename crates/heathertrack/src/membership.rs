//! Which hosts are there, which host holds which role, and who took over from whom.

mod rendezvous;
mod successions;
mod view;

pub use rendezvous::rendezvous;
pub use successions::Successions;
pub use view::{Entry, Heard, State, View};
