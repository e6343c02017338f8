//! Acceptance rules for caller-minted keys, which a home claims in the platform's store.

mod guard;
mod window;

pub use guard::Guard;
pub use window::{Age, Window};
