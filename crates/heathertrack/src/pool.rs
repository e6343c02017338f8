//! Dispatch of jobs to upstreams that run their tasks under leases.
//!
//! [`Pool`] is a state machine: it takes jobs, the upstreams' answers and the time, and returns
//! [`Effect`]s. An order without an answer may have been carried out, and the pool allows for both.
//!
//! ```
//! use heathertrack::clock::Time;
//! use heathertrack::pool::{Options, Pool};
//!
//! let mut pool = Pool::new(Options::default());
//! pool.tick(Time::from_millis(25));
//! assert!(pool.take_effects().is_empty());
//! ```

mod admission;
mod cancellations;
mod durations;
mod effect;
mod failed_run;
mod health;
pub mod interference;
pub mod job;
mod listing;
mod load;
mod loss;
mod machine;
mod options;
pub mod order;
mod ownership;
pub mod patience;
pub mod placement;
mod quarantine;
pub mod roster;
pub mod routing;
mod run;
pub mod search;
pub mod shortage;
pub mod speed;
mod task;
pub mod upstream;

pub use effect::{Decision, Effect, Renewal};
pub use failed_run::FailedRun;
pub use job::JobKey;
pub use listing::{EndedRun, Listing, RunEnd, RunningRun};
pub use load::Load;
pub use loss::{Evidence, Loss, LossCause, LostRun, PollFailure};
pub use machine::Pool;
pub use options::Options;
pub use ownership::{Candidate, choose_dispatchers, owner, startup_grace};
pub use roster::Roster;
pub use run::{RunKey, StartAnswer};
pub use task::Task;
pub use upstream::UpstreamKey;
