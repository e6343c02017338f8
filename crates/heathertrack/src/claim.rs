//! Acceptance rules for caller-minted keys. The process that claims such a key in the platform's
//! store is its home.

mod clock_step;
mod window;

pub use clock_step::ClockStepDetector;
pub use window::{KeyAge, KeyWindow};
