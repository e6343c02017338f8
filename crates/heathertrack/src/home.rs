//! Submission handling of one process: tickets, caller-minted keys and records combined.
//!
//! This module decides whether a job may start and, if it may not, whether the caller can be told
//! that it did not run.

mod desk;
mod offices;
mod origin;
mod refused;

pub use desk::{Clocks, Desk, Stage};
pub use offices::{Adopted, Offices, PartedOffice};
pub use origin::Origin;
pub use refused::Refused;
