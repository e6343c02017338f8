//! Simulation of entry hosts in virtual time, with emulated upstreams, callers and faults.
//!
//! The hosts run the code of [`heathertrackd::entry`], as on real machines, with an emulated
//! network, store and clock. Simulating a minute takes about a second, and the same seed gives the
//! same results. [`World`] holds the state of a simulation, [`Load`] generates the callers' jobs,
//! [`Fault`]s are injected at set times, and [`Verdict`] lists violations and how the jobs were
//! served. A run is the execution of a task on an upstream.
//!
//! ```
//! use heathertrack_model::{Plan, simulate};
//! use std::time::Duration;
//!
//! let plan = Plan { length: Duration::from_secs(2), ..Plan::small(7) };
//! let verdict = simulate(&plan);
//! assert!(verdict.violations.is_empty(), "{:?}", verdict.violations);
//! ```

mod audit;
mod clock;
mod environment;
mod fault;
mod load;
mod log_sink;
mod network;
mod orders;
mod overlap;
mod pattern;
mod plan;
mod process;
mod store;
pub mod upstream;
mod verdict;
mod world;

pub use fault::{Fault, FaultKind};
pub use load::{Class, Load};
pub use overlap::{Overlap, Span, overlaps};
pub use pattern::{Pattern, PatternError};
pub use plan::{Plan, Site};
pub use upstream::Slowdown;
pub use verdict::{JobStats, Verdict, Violation};
pub use world::{World, simulate};
