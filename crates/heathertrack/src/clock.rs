//! Monotonic time as the parts see it.

mod stall;
mod time;

pub use stall::Stall;
pub use time::Time;
