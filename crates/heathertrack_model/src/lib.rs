//! Entry hosts in virtual time, among emulated upstreams, callers and faults.
//!
//! The hosts are those of [`heathertrackd::entry`]: the same code that runs on real machines, with
//! an emulated network, store and clock. A run of a minute takes a second or so, and repeats for the
//! same seed. [`World`] holds everything, [`Load`] makes callers' jobs, [`Fault`]s strike at set
//! times, and [`Verdict`] says what was broken and how callers were served.
//!
//! ```
//! use heathertrack_model::{Plan, run};
//! use std::time::Duration;
//!
//! let plan = Plan { length: Duration::from_secs(2), ..Plan::small(7) };
//! let verdict = run(&plan);
//! assert!(verdict.broken.is_empty(), "{:?}", verdict.broken);
//! ```

mod clock;
mod environment;
mod fault;
mod journal;
mod load;
mod network;
mod orders;
mod pattern;
mod plan;
mod process;
mod store;
pub mod upstream;
mod verdict;
mod world;

pub use fault::{Fault, Trouble};
pub use load::{Class, Load};
pub use pattern::{Pattern, PatternError};
pub use plan::{Plan, Site};
pub use verdict::{Broken, Served, Verdict};
pub use world::{World, run};
