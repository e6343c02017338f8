//! Rules for keys that callers mint themselves, which are claimed in the platform's store.

mod guard;
mod window;

pub use guard::Guard;
pub use window::{Age, Window};
