//! Acceptance rules for caller-minted keys, which a home claims in the platform's store.

mod clock_step;
mod window;

pub use clock_step::ClockStepDetector;
pub use window::{KeyAge, KeyWindow};
