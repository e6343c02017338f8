//! Notice of a newer seat table.

use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;

/// Notifies the seat loop that a peer has seen a newer table.
#[derive(Debug, Default)]
pub struct TableNotice {
    /// Revision of the table that was last read or written here.
    last_revision: AtomicU64,
    /// Notified when a peer has reported a newer revision.
    newer: Notify,
}

impl TableNotice {
    /// Returns the revision of the table that was last read or written here; zero for none.
    pub fn last_revision(&self) -> u64 {
        self.last_revision.load(Ordering::Acquire)
    }

    /// Notifies the seat loop if a peer has seen a newer revision.
    pub fn note_peer_revision(&self, revision: u64) {
        if revision > self.last_revision() {
            self.newer.notify_one();
        }
    }

    /// Records the revision of a table that was read or written here.
    pub(super) fn record(&self, revision: u64) {
        self.last_revision.fetch_max(revision, Ordering::AcqRel);
    }

    /// Waits until a peer has reported a newer table.
    pub(super) async fn wait_for_newer(&self) {
        self.newer.notified().await;
    }
}
