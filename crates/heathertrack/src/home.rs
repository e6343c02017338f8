//! Submission handling of one process: tickets, caller-minted keys and records combined.
//!
//! This module decides whether a job may start and, if it may not, whether the caller can be told
//! that it did not run.

mod desk;
mod origin;
mod refused;
mod ticket_authority;

pub use desk::{Clocks, Desk, Stage};
pub use origin::Origin;
pub use refused::Refused;
pub use ticket_authority::{AdoptedIssuer, PartedOffice, TicketAuthority};
