//! The desk at which a process takes submissions: tickets, caller-minted keys and records as one.
//!
//! Everything that decides whether a job may begin, and what may be said when it does not, is here.

mod desk;
mod offices;
mod origin;
mod refused;

pub use desk::{Clocks, Desk, Stage};
pub use offices::{Adopted, Offices, PartedOffice};
pub use origin::Origin;
pub use refused::Refused;
