//! The dispatcher daemon: sockets, timers and async tasks around the logic of [`heathertrack`].
//!
//! ```no_run
//! use heathertrackd::{Node, Settings};
//! use heathertrack_platform::{Etcd, HttpHostList};
//!
//! # async fn example(text: &str) -> Result<(), Box<dyn std::error::Error>> {
//! let settings = Settings::read("settings.json", text)?;
//! let store = Etcd::new(settings.platform.store.clone());
//! let hosts = HttpHostList::new(settings.platform.host_list.clone());
//! let node = Node::bind(settings, store, hosts).await?;
//! node.stop().await;
//! # Ok(())
//! # }
//! ```

mod call;
mod callers;
mod claims;
mod clock;
mod dispatch;
mod drain;
pub mod entry;
mod gate;
mod heartbeats;
mod home;
mod hosts;
mod intake;
mod job;
mod linger;
mod lists;
pub mod log;
mod metrics;
mod node;
mod operators;
mod peers;
mod placement;
mod route;
mod seats;
mod server;
mod settings;
mod state;
mod status;
mod tick;
mod timer;
mod unread_body;

pub use node::{Addresses, BindError, Node};
pub use settings::{BaselinePolicy, Limits, Listen, Platform, Policy, Settings};
