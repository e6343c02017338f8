//! Whether the configuration of this host may be taken for the newest one.

use super::boot_clock::Clock;
use super::node::{EntryHost, Environment};
use heathertrack::clock::Time;
use heathertrack::membership::Standing;
use heathertrack_platform::WatchError;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Reads the configuration apart from the task that follows the store, which may be pausing. If that
/// fails, the task finds the same in its next call.
async fn ask_for_configuration<E: Environment>(entry: Rc<EntryHost<E>>) {
    if let Err(WatchError::Compacted) = entry.read_configuration(Duration::ZERO).await {
        entry.wake_follower.notify_one();
    }
}

impl<E: Environment> EntryHost<E> {
    /// Records that the configuration in force was the newest one at a time, and wakes the requests
    /// that wait for that.
    pub(super) fn confirm_configuration(&self, at: Time) {
        self.state.borrow_mut().confirmation.confirm(at);
        self.configuration_arrived.notify_waiters();
    }

    /// Returns the time since the store last confirmed the configuration, if it has.
    pub(super) fn configuration_age(&self) -> Option<Duration> {
        let now = self.environment.clock().now();
        self.state.borrow().confirmation.age(now)
    }

    /// Returns whether the configuration in force may be taken for the newest one. If the store
    /// hasn't confirmed it for too long, asks the store and waits for a moment.
    pub(super) async fn has_current_configuration(self: &Rc<Self>) -> bool {
        loop {
            let answered = self.configuration_arrived.notified();
            let now = self.now();
            let standing = self.state.borrow_mut().confirmation.check(now);
            match standing {
                Standing::Current => return true,
                Standing::Outdated => return false,
                Standing::Wait(until) => {
                    // The standing is looked up whether the store answered or the time is over.
                    let _ = timeout(until.since(now), answered).await;
                }
                Standing::Ask => {
                    self.log_outdated_configuration(now);
                    spawn_local(ask_for_configuration(self.clone()));
                }
            }
        }
    }

    /// Returns whether this host gets too little CPU to read the store in time. Another host serves its
    /// callers better.
    pub(super) fn is_starved(self: &Rc<Self>) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        state.confirmation.is_starved(state.last_store_failure, now)
    }

    /// Logs that the configuration is outdated, with what tells the causes apart: a host that the
    /// store turns away has a recent failure, one that was suspended or starved has none.
    fn log_outdated_configuration(&self, now: Time) {
        let state = self.state.borrow();
        let age = state.confirmation.age(now);
        let failure_age = state.last_store_failure.map(|failed| now.since(failed));
        self.event_log.configuration_outdated(state.version(), age, failure_age, state.peers.len());
    }
}
