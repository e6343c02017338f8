//! Monotonic time and detection of process pauses.

mod stall;
mod time;

pub use stall::Stall;
pub use time::Time;
