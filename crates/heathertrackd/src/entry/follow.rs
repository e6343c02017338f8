//! Reads changes of the platform's store, and keeps the record of this host there.

use super::metrics;
use super::node::{Entry, Environment};
use heathertrack::clock::Time;
use heathertrack::membership::depth::{Depth, reading_period};
use heathertrack_platform::{Changes, Fact, Item, LeaseKey, Metadata, ReadFault, Subject};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Longest wait of one call for changes. It is short so that a connection that became unresponsive
/// is noticed well within the time in which a configuration has to be in force.
const WAIT: Duration = Duration::from_millis(700);
/// Pause between calls for changes, for each known host. The total rate of calls then stays far
/// below the limits of the store for any number of hosts.
const PAUSE_EACH: Duration = Duration::from_millis(50);
/// Shortest pause between calls for changes.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between calls for changes. Together with the duration of a call it stays within
/// the time in which a configuration has to be in force.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);
/// Number of changes in one answer from which on the next call follows without a pause. The store
/// returns changes in pages of 500 items, and a host that pauses between full pages would fall
/// behind.
const MANY: usize = 400;
/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(300);
/// Time after which the record of this host expires unless it is renewed.
const RECORD_TTL: Duration = Duration::from_secs(10);
/// Period of the renewals of that record.
const RENEWAL: Duration = Duration::from_secs(3);

/// Starts the tasks that follow the store and renew the record of this host.
pub fn spawn<E: Environment>(entry: &Rc<Entry<E>>) {
    spawn_local(follow(entry.clone()));
    spawn_local(keep_record(entry.clone()));
}

/// Scope of one read of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// All items.
    All,
    /// Changes of all items.
    Changes,
    /// Changes of the configuration only.
    Configuration,
}

async fn follow<E: Environment>(entry: Rc<Entry<E>>) {
    let mut answers = true;
    // Time of the last read of all items; `None` if changes may have been missed since.
    let mut read_all: Option<Time> = None;
    loop {
        let reading = entry.next_reading(read_all);
        let result = tokio::select! {
            result = entry.read_store(reading) => result,
            () = entry.follow_more.notified() => continue,
        };
        match result {
            Ok(changes) => {
                metrics::store_called(true);
                if !answers {
                    entry.journal.store(true, "", changes.revision);
                    answers = true;
                }
                let now = entry.now();
                if reading == Reading::All {
                    read_all = Some(now);
                }
                let is_behind = reading == Reading::Changes && changes.items.len() >= MANY;
                entry.take_reading(reading, changes, now);
                if is_behind {
                    continue;
                }
                let hosts = entry.state.borrow().hosts.len() as u32;
                let pause = (PAUSE_EACH * hosts).clamp(PAUSE, LONGEST_PAUSE);
                // The store is read again whether the pause elapsed or was cut short.
                let _ = timeout(pause, entry.follow_more.notified()).await;
            }
            Err(ReadFault::Forgotten) => read_all = None,
            Err(ReadFault::Call(fault)) => {
                metrics::store_called(false);
                if answers {
                    let revision = entry.state.borrow().mirror.revision();
                    entry.journal.store(false, &fault.to_string(), revision);
                    answers = false;
                }
                let now = entry.now();
                entry.state.borrow_mut().store_failed = Some(now);
                sleep(RETRY).await;
            }
        }
    }
}

impl<E: Environment> Entry<E> {
    fn next_reading(self: &Rc<Self>, read_all: Option<Time>) -> Reading {
        let now = self.now();
        let state = self.state.borrow();
        let Some(read_all) = read_all else { return Reading::All };
        match state.depth() {
            Depth::All if state.is_mirrored => Reading::Changes,
            Depth::All => Reading::All,
            Depth::Configuration if now.since(read_all) < reading_period(state.upstreams.len()) => {
                Reading::Configuration
            }
            Depth::Configuration => Reading::All,
        }
    }

    async fn read_store(&self, reading: Reading) -> Result<Changes, ReadFault> {
        let store = self.environment.metadata();
        let (mirrored, configured) = {
            let state = self.state.borrow();
            (state.mirror.revision(), state.configured)
        };
        match reading {
            Reading::All => store.read().await.map_err(ReadFault::Call),
            Reading::Changes => store.changes(mirrored, WAIT).await,
            Reading::Configuration => store.configuration(configured, WAIT).await,
        }
    }

    fn take_reading(self: &Rc<Self>, reading: Reading, mut changes: Changes, now: Time) {
        {
            let mut state = self.state.borrow_mut();
            state.store_read = Some(now);
            state.configured = state.configured.max(changes.revision);
            state.is_mirrored = reading != Reading::Configuration;
        }
        if reading == Reading::Configuration {
            // Other items may have changed up to that revision, so it must not count as the
            // revision of the mirror.
            changes.revision = 0;
        }
        self.take_changes(changes, reading == Reading::All);
    }
}

async fn keep_record<E: Environment>(entry: Rc<Entry<E>>) {
    let store = entry.environment.metadata().clone();
    let mut lease: Option<LeaseKey> = None;
    loop {
        let pause = match lease {
            None => match store.announce(&entry.record, RECORD_TTL).await {
                Ok(key) => {
                    lease = Some(key);
                    entry.lease.set(lease);
                    RENEWAL
                }
                Err(fault) => {
                    entry.journal.record_failed("announced", &fault.to_string());
                    RETRY
                }
            },
            Some(key) => match store.renew(key).await {
                Ok(true) => RENEWAL,
                Ok(false) => {
                    entry.journal.record_failed("renewed", "its lease has ended");
                    lease = None;
                    Duration::ZERO
                }
                Err(fault) => {
                    entry.journal.record_failed("renewed", &fault.to_string());
                    RETRY
                }
            },
        };
        sleep(pause).await;
    }
}

impl<E: Environment> Entry<E> {
    /// Removes the record of this host from the store.
    pub(super) async fn withdraw(&self) {
        if let Some(lease) = self.lease.get()
            && let Err(fault) = self.environment.metadata().withdraw(lease).await
        {
            self.journal.store(false, &fault.to_string(), 0);
        }
    }

    /// Applies changes of the store that were read from it or received from a peer.
    pub(super) fn take_changes(self: &Rc<Self>, changes: Changes, all: bool) {
        let items = {
            let mut state = self.state.borrow_mut();
            if all { state.mirror.take_all(changes) } else { state.mirror.take(changes) }
        };
        for item in items {
            self.take_item(&item);
        }
        self.update_owners();
    }

    fn take_item(self: &Rc<Self>, item: &Item) {
        let subject = self.environment.metadata().subject(&item.key);
        if subject == Subject::Other {
            return;
        }
        let fact = item.value.as_deref().map(|value| {
            let fact = self.environment.metadata().decode(&item.key, value);
            fact.inspect_err(|why| self.journal.unreadable(&item.key, why, item.revision))
        });
        let now = self.now();
        let mut state = self.state.borrow_mut();
        match (subject, fact) {
            (_, Some(Ok(Fact::Configuration(table)))) => {
                let before = state.version();
                if table.version > before {
                    self.journal.configured(table.version, before, item.revision);
                    state.table = Some(Rc::new(table));
                    state.catch_up.reached();
                }
            }
            (_, Some(Ok(Fact::Upstream(record)))) => {
                state.missing.remove(&record.name);
                let name = record.name.clone();
                if state.upstreams.insert(name, record.clone()).as_ref() != Some(&record) {
                    state.owners_stale = true;
                }
            }
            (_, Some(Ok(Fact::Host(record)))) => {
                state.hosts.insert(record.name.clone(), record);
            }
            (Subject::Upstream(name), None | Some(Err(_))) => {
                state.missing.entry(name).or_insert(now);
            }
            (Subject::Host(name), None | Some(Err(_))) => {
                state.hosts.remove(&name);
            }
            (Subject::Configuration | Subject::Other, None | Some(Err(_))) => {}
        }
    }
}
