use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;

/// Tells the keeper of the seats that a peer has seen a newer table.
#[derive(Debug, Default)]
pub struct Notice {
    /// Revision of the table that was read or written here last.
    seen: AtomicU64,
    newer: Notify,
}

impl Notice {
    /// Revision of the table that was read or written here last; zero for none.
    pub fn seen(&self) -> u64 {
        self.seen.load(Ordering::Acquire)
    }

    /// Takes in the revision that a peer has seen.
    pub fn hear(&self, revision: u64) {
        if revision > self.seen() {
            self.newer.notify_one();
        }
    }

    /// Notes a table that was read or written here.
    pub(super) fn see(&self, revision: u64) {
        self.seen.fetch_max(revision, Ordering::AcqRel);
    }

    /// Waits until a peer has told of a newer table.
    pub(super) async fn newer(&self) {
        self.newer.notified().await;
    }
}
