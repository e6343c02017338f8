//! Entry host for a platform whose upstreams run tasks under leases.
//!
//! Everything runs on one thread, because a host has a fraction of a core and the state is then
//! shared without locks. [`EntryHost`] holds the state; each of the other modules implements one
//! kind of I/O around it.

mod boot_clock;
mod callers;
mod cancel;
mod configuration;
mod deferred_lines;
mod dispatch;
mod evacuation;
mod event_log;
mod follow;
mod frame;
mod intakes;
mod link;
mod metrics;
mod mirror;
mod node;
mod ownership;
mod ready;
mod routing;
mod state;
mod submit;
mod tick;
mod transport;

pub use boot_clock::{BootClock, Clock};
pub use event_log::EventLog;
pub use node::{EntryError, EntryHost, Environment};
pub use transport::{TcpTransport, Transport};
