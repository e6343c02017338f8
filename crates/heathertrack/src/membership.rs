//! Which hosts are there, which host holds which role, and who took over from whom.

mod catch_up;
pub mod depth;
pub mod links;
mod rendezvous;
mod successions;
mod view;

pub use catch_up::CatchUp;
pub use rendezvous::rendezvous;
pub use successions::Successions;
pub use view::{Entry, Heard, State, View};
