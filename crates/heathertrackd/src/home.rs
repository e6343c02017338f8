//! The records that this process keeps: its own, and those that it took over.

mod offices;
mod parting;
mod submit;

pub use offices::Offices;
pub use parting::{adopt, part};
pub use submit::{cancel, judge, look, probe, submit};

use crate::clock::Clock;
use crate::settings::Limits;
use crate::state::lock;
use heathertrack::claim::Guard;
use heathertrack::record::{self, Records};
use heathertrack::ticket::Issuer;
use heathertrack_wire::caller::Outcome;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// A handle to a running job.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Its outcome, once there is one.
    pub outcome: watch::Receiver<Option<Arc<Outcome>>>,
    /// Cancels it.
    pub cancel: CancellationToken,
}

/// The records and tickets of one process.
#[derive(Debug)]
pub struct Homes {
    records: Mutex<Records<Handle, Arc<Outcome>>>,
    offices: Mutex<Offices>,
    /// Whether the wall clock can be trusted to judge minted keys.
    pub guard: Guard,
}

impl Homes {
    /// No records yet.
    pub fn new(issuer: Issuer, limits: &Limits, clock: &Clock) -> Self {
        let bounds = record::Limits::default()
            .records(limits.records)
            .answer_bytes(limits.answer_bytes);
        Homes {
            records: Mutex::new(Records::new(bounds)),
            offices: Mutex::new(Offices::new(issuer)),
            guard: Guard::new(limits.minted.skew, clock.wall_ms(), clock.now()),
        }
    }

    /// The records.
    pub fn records(&self) -> MutexGuard<'_, Records<Handle, Arc<Outcome>>> {
        lock(&self.records)
    }

    /// The tickets.
    pub fn offices(&self) -> MutexGuard<'_, Offices> {
        lock(&self.offices)
    }
}
