//! The entry host on a platform whose upstreams run tasks under leases.
//!
//! Everything runs on one thread: a host has a fraction of a core, and the state is shared without
//! locks. [`Entry`] holds the parts; each of the other modules is one kind of I/O around them.

mod boot_clock;
mod callers;
mod dispatch;
mod follow;
mod frame;
mod journal;
mod link;
mod metrics;
mod mirror;
mod net;
mod node;
mod ownership;
mod ready;
mod routing;
mod state;
mod submit;
mod tick;
mod trail;

pub use boot_clock::{BootClock, Clock};
pub use journal::Journal;
pub use net::{Net, Tcp};
pub use node::{Entry, EntryError, Environment};
