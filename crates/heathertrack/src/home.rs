//! Submission handling of one process: tickets, caller-minted keys and records combined.
//!
//! The home of a key is the only process that may start the job submitted under it, until a
//! successor takes over its records. This module decides whether a job may start and, if it may
//! not, whether the caller can be told that it did not run.

mod origin;
mod refusal;
mod submission_registry;
mod ticket_authority;

pub use origin::Origin;
pub use refusal::Refusal;
pub use submission_registry::{Clocks, Stage, SubmissionRegistry};
pub use ticket_authority::{AdoptedIssuer, TicketAuthority, TicketHandover};
