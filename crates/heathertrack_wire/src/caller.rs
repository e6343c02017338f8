//! Requests from callers and the responses to them.

mod answer;
mod job;
mod key;
mod outcome;
mod problem;
mod task;
mod ticket;

pub use answer::Answer;
pub use job::{Job, MAX_BODY_BYTES, MAX_TASKS};
pub use key::{Key, KeyError};
pub use outcome::Outcome;
pub use problem::{Finding, Problem, ProblemKind};
pub use task::Task;
pub use ticket::Ticket;
