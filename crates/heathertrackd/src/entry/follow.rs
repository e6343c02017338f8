//! Reads changes of the platform's store, and renews the record of this host there.

use super::boot_clock::Clock;
use super::metrics;
use super::node::{EntryHost, Environment};
use heathertrack::clock::Time;
use heathertrack::membership::depth::{MirrorScope, full_read_period};
use heathertrack_platform::{
    Changes, DecodedItem, Item, KeyKind, MetadataStore, Registration, WatchError,
};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Longest wait of one call for changes. It is short so that a connection that became unresponsive
/// is noticed well within the time in which a configuration has to be in force.
const MAX_WAIT: Duration = Duration::from_millis(700);
/// Pause between calls for changes, for each known host. All hosts together then make about 20
/// calls a second at most, far below the limits of the store, until [`MAX_PAUSE`] bounds the pause.
const PAUSE_PER_HOST: Duration = Duration::from_millis(50);
/// Shortest pause between calls for changes.
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between calls for changes. Together with the duration of a call it stays within
/// the time in which a configuration has to be in force.
const MAX_PAUSE: Duration = Duration::from_millis(1_000);
/// Number of changes in one answer at or above which the next call follows without a pause. The
/// store returns changes in pages of 500 items, and a host that paused between them would fall
/// behind.
const FULL_ANSWER_CHANGES: usize = 400;
/// Time after which the configuration is followed beside a read that covers more. No such read takes
/// as long unless the store or the network is slow.
const LONG_READ: Duration = Duration::from_secs(1);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time after which the record of this host expires unless it is renewed.
const RECORD_TTL: Duration = Duration::from_secs(10);
/// Period of the renewals of the record of this host.
const RENEWAL_PERIOD: Duration = Duration::from_secs(3);

/// Starts the tasks that follow the store and renew the record of this host.
pub fn spawn<E: Environment>(entry: &Rc<EntryHost<E>>) {
    spawn_local(follow(entry.clone()));
    spawn_local(maintain_record(entry.clone()));
}

/// Scope of one read of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadScope {
    /// What the operators write and the hosts, at the start and after changes were missed.
    Directory,
    /// All items.
    All,
    /// Changes of all items since the revision of the mirror.
    Changes,
    /// Changes of the operators' configuration and requests since they were last read.
    Configuration,
}

/// Result of a read of the store.
struct Read {
    changes: Changes,
    /// Time until which no newer configuration than those in `changes` was acknowledged; `None` if
    /// the answer may lack some.
    covers_until: Option<Time>,
}

/// Returns whether an answer holds so many changes that the store may have more.
fn is_full(changes: &Changes) -> bool {
    changes.items.len() >= FULL_ANSWER_CHANGES
}

async fn follow<E: Environment>(entry: Rc<EntryHost<E>>) {
    let mut is_store_answering = true;
    let mut has_failed = false;
    // Time of the last read of all items; `None` if changes may have been missed since.
    let mut last_full_read: Option<Time> = None;
    loop {
        let scope = entry.next_read_scope(last_full_read);
        let result = tokio::select! {
            result = entry.read_configuration_first(scope, has_failed) => match result {
                Ok(()) => entry.read_beside_configuration(scope, last_full_read).await,
                Err(error) => Err(error),
            },
            () = entry.wake_follower.notified() => continue,
        };
        has_failed = result.is_err();
        match result {
            Ok(Read { changes, covers_until }) => {
                metrics::store_called(true);
                if !is_store_answering {
                    entry.event_log.store_changed(true, "", changes.revision);
                    is_store_answering = true;
                }
                let now = entry.now();
                if scope == ReadScope::All {
                    last_full_read = Some(now);
                }
                let is_behind = scope == ReadScope::Changes && is_full(&changes);
                entry.apply_read(scope, changes, now);
                if let Some(at) = covers_until {
                    entry.confirm_configuration(at);
                }
                if is_behind {
                    continue;
                }
                let hosts = entry.state.borrow().hosts.len() as u32;
                let pause = (PAUSE_PER_HOST * hosts).clamp(MIN_PAUSE, MAX_PAUSE);
                let pause = pause.min(entry.time_until_first_full_read(last_full_read));
                // The store is read again whether the pause elapsed or was cut short.
                let _ = timeout(pause, entry.wake_follower.notified()).await;
            }
            Err(WatchError::Compacted) => {
                last_full_read = None;
                entry.state.borrow_mut().directory_read = None;
            }
            Err(WatchError::Call(error)) => {
                metrics::store_called(false);
                if is_store_answering {
                    let revision = entry.state.borrow().mirror.revision();
                    entry.event_log.store_changed(false, &error.to_string(), revision);
                    is_store_answering = false;
                }
                let now = entry.now();
                entry.state.borrow_mut().last_store_failure = Some(now);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

impl<E: Environment> EntryHost<E> {
    /// Returns the scope of the next read. `last_full_read` is `None` if all items must be read.
    fn next_read_scope(self: &Rc<Self>, last_full_read: Option<Time>) -> ReadScope {
        let now = self.now();
        let is_full_read_due = self.time_until_first_full_read(last_full_read).is_zero();
        let state = self.state.borrow();
        if state.directory_read.is_none() {
            return ReadScope::Directory;
        }
        let Some(last_full_read) = last_full_read else {
            return if is_full_read_due { ReadScope::All } else { ReadScope::Configuration };
        };
        match state.mirror_scope() {
            MirrorScope::All if state.is_mirror_current => ReadScope::Changes,
            MirrorScope::All => ReadScope::All,
            MirrorScope::ConfigurationOnly
                if now.since(last_full_read) < full_read_period(state.upstreams.len()) =>
            {
                ReadScope::Configuration
            }
            MirrorScope::ConfigurationOnly => ReadScope::All,
        }
    }

    /// Returns the time until this host has to read all items for the first time;
    /// [`Duration::MAX`] if it has done so.
    fn time_until_first_full_read(self: &Rc<Self>, last_full_read: Option<Time>) -> Duration {
        let now = self.now();
        let state = self.state.borrow();
        match state.directory_read {
            Some(_) if last_full_read.is_some() => Duration::MAX,
            Some(_) if state.has_assigned_upstreams => Duration::ZERO,
            Some(read) => (read + state.first_full_read_delay(&self.record)).since(now),
            None => Duration::ZERO,
        }
    }

    /// Reads the configuration if the last read of anything more has failed: the store may refuse
    /// that read again and answer this one.
    async fn read_configuration_first(
        self: &Rc<Self>,
        scope: ReadScope,
        has_failed: bool,
    ) -> Result<(), WatchError> {
        if has_failed && matches!(scope, ReadScope::All | ReadScope::Changes) {
            self.read_configuration(Duration::ZERO).await?;
        }
        Ok(())
    }

    /// Reads the store, and follows the configuration meanwhile if that takes long.
    async fn read_beside_configuration(
        self: &Rc<Self>,
        scope: ReadScope,
        last_full_read: Option<Time>,
    ) -> Result<Read, WatchError> {
        let follow_configuration = async {
            if !matches!(scope, ReadScope::All | ReadScope::Changes) {
                return;
            }
            sleep(LONG_READ).await;
            loop {
                match self.read_configuration(MAX_WAIT).await {
                    Ok(()) => sleep(MIN_PAUSE).await,
                    Err(WatchError::Call(_)) => sleep(RETRY_PAUSE).await,
                    // The read beside it covers the configuration.
                    Err(WatchError::Compacted) => return,
                }
            }
        };
        let mut reading = pin!(self.read_store(scope, last_full_read));
        tokio::select! {
            result = &mut reading => result,
            () = follow_configuration => reading.await,
        }
    }

    /// Reads the changes of the operators' configuration and requests, and applies them.
    pub(super) async fn read_configuration(
        self: &Rc<Self>,
        wait: Duration,
    ) -> Result<(), WatchError> {
        let revision = self.state.borrow().configuration_revision;
        let store = self.environment.metadata_store();
        let asked = self.environment.clock().now();
        let changes = store.watch_operators(revision, wait).await?;
        let Read { mut changes, covers_until } = self.watched(changes, asked, wait);
        metrics::store_called(true);
        {
            let mut state = self.state.borrow_mut();
            state.configuration_revision = state.configuration_revision.max(changes.revision);
        }
        // Other items may have changed up to that revision.
        changes.revision = 0;
        self.apply_changes(changes);
        if let Some(at) = covers_until {
            self.confirm_configuration(at);
        }
        Ok(())
    }

    /// Returns an answer to a call for changes that was sent at `asked`. The store answers at once
    /// if there are changes, and after `wait` otherwise.
    fn watched(&self, changes: Changes, asked: Time, wait: Duration) -> Read {
        let covers_until = if is_full(&changes) {
            None
        } else if changes.items.is_empty() {
            Some((asked + wait).min(self.environment.clock().now()))
        } else {
            Some(asked)
        };
        Read { changes, covers_until }
    }

    async fn read_store(
        self: &Rc<Self>,
        scope: ReadScope,
        last_full_read: Option<Time>,
    ) -> Result<Read, WatchError> {
        let store = self.environment.metadata_store();
        let asked = self.environment.clock().now();
        let read = |changes| Read { changes, covers_until: Some(asked) };
        let (mirror_revision, configuration_revision) = {
            let state = self.state.borrow();
            (state.mirror.revision(), state.configuration_revision)
        };
        match scope {
            ReadScope::Directory => {
                store.read_directory().await.map(read).map_err(WatchError::Call)
            }
            ReadScope::All => store.read_all().await.map(read).map_err(WatchError::Call),
            ReadScope::Changes => {
                let changes = store.watch(mirror_revision, MAX_WAIT).await?;
                Ok(self.watched(changes, asked, MAX_WAIT))
            }
            ReadScope::Configuration => {
                let wait = MAX_WAIT.min(self.time_until_first_full_read(last_full_read));
                let changes = store.watch_operators(configuration_revision, wait).await?;
                Ok(self.watched(changes, asked, wait))
            }
        }
    }

    /// Records a successful read, and applies the changes that it returned.
    fn apply_read(self: &Rc<Self>, scope: ReadScope, mut changes: Changes, now: Time) {
        {
            let mut state = self.state.borrow_mut();
            state.last_store_read = Some(now);
            state.configuration_revision = state.configuration_revision.max(changes.revision);
            state.is_mirror_current = matches!(scope, ReadScope::All | ReadScope::Changes);
            if scope == ReadScope::Directory {
                state.directory_read = Some(now);
            }
        }
        let missing = {
            let store = self.environment.metadata_store();
            let is_evacuation = |key: &str| matches!(store.key_kind(key), KeyKind::Evacuation(_));
            let mirror = &self.state.borrow().mirror;
            match scope {
                ReadScope::All => mirror.missing_from(&changes, |_| true),
                ReadScope::Directory => mirror.missing_from(&changes, is_evacuation),
                ReadScope::Changes | ReadScope::Configuration => Vec::new(),
            }
        };
        changes.items.extend(missing);
        if matches!(scope, ReadScope::Directory | ReadScope::Configuration) {
            // Other items may have changed up to that revision, so it must not count as the
            // revision of the mirror.
            changes.revision = 0;
        }
        self.apply_changes(changes);
    }
}

/// Registers the record of this host in the store, and renews it. If its lease has expired, or
/// another writer has replaced or removed the record, it is registered again.
async fn maintain_record<E: Environment>(entry: Rc<EntryHost<E>>) {
    let store = entry.environment.metadata_store().clone();
    let mut registration: Option<Registration> = None;
    loop {
        let asked = entry.now();
        let pause = match registration {
            None => match store.register(&entry.record, RECORD_TTL).await {
                Ok(registered) => {
                    registration = Some(registered);
                    entry.lease.set(Some(registered.lease));
                    entry.record_expiry.set(asked + RECORD_TTL);
                    RENEWAL_PERIOD
                }
                Err(error) => {
                    entry.event_log.host_record_failed("announced", &error.to_string());
                    RETRY_PAUSE
                }
            },
            Some(registered) if entry.state.borrow().own_record_revision > registered.revision => {
                entry.event_log.host_record_failed("renewed", "another writer has changed it");
                registration = None;
                entry.record_expiry.set(Time::ZERO);
                Duration::ZERO
            }
            Some(registered) => match store.renew_lease(registered.lease).await {
                Ok(true) => {
                    entry.record_expiry.set(asked + RECORD_TTL);
                    RENEWAL_PERIOD
                }
                Ok(false) => {
                    entry.event_log.host_record_failed("renewed", "its lease has expired");
                    registration = None;
                    entry.record_expiry.set(Time::ZERO);
                    Duration::ZERO
                }
                Err(error) => {
                    entry.event_log.host_record_failed("renewed", &error.to_string());
                    RETRY_PAUSE
                }
            },
        };
        sleep(pause).await;
    }
}

impl<E: Environment> EntryHost<E> {
    /// Removes the record of this host from the store. If that fails, the record expires after
    /// [`RECORD_TTL`].
    pub(super) async fn withdraw_record(&self) {
        if let Some(lease) = self.lease.get()
            && let Err(error) = self.environment.metadata_store().revoke_lease(lease).await
        {
            self.event_log.store_changed(false, &error.to_string(), 0);
        }
    }

    /// Applies changes of the store that were read from it or received from a peer.
    pub(super) fn apply_changes(self: &Rc<Self>, changes: Changes) {
        let items = self.state.borrow_mut().mirror.apply(changes);
        for item in items {
            self.apply_item(&item);
        }
        self.update_owners();
        self.run_effects();
    }

    /// Updates the state from an item that was changed or removed. An upstream's or host's item
    /// that cannot be decoded counts as removed; a configuration stays in force until a later one
    /// can be decoded, and a request to evacuate until it is removed.
    fn apply_item(self: &Rc<Self>, item: &Item) {
        let key_kind = self.environment.metadata_store().key_kind(&item.key);
        if key_kind == KeyKind::Other {
            return;
        }
        let decoded = item.value.as_deref().map(|value| {
            let decoded = self.environment.metadata_store().decode(&item.key, value);
            decoded.inspect_err(|why| self.event_log.item_unreadable(&item.key, why, item.revision))
        });
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if matches!(&key_kind, KeyKind::Host(name) if *name == self.record.name) {
            state.own_record_revision = state.own_record_revision.max(item.revision);
        }
        if key_kind.is_operators() {
            state.operator_revision = state.operator_revision.max(item.revision);
            state.catch_up.mark_caught_up();
        }
        match (key_kind, decoded) {
            (_, Some(Ok(DecodedItem::Evacuation(data_centre)))) => {
                self.set_evacuated(&mut state, &data_centre, Some(item.revision), now);
            }
            (KeyKind::Evacuation(data_centre), None) => {
                self.set_evacuated(&mut state, &data_centre, None, now);
            }
            (_, Some(Ok(DecodedItem::Configuration(table)))) => {
                let before = state.version();
                if table.version > before {
                    self.event_log.configuration_in_force(table.version, before, item.revision);
                    state.table = Some(Rc::new(table));
                    self.configuration_arrived.notify_waiters();
                }
            }
            (_, Some(Ok(DecodedItem::Upstream(record)))) => {
                state.missing_upstreams.remove(&record.name);
                let name = record.name.clone();
                if state.upstreams.insert(name, record.clone()).as_ref() != Some(&record) {
                    state.owners_stale = true;
                }
            }
            (_, Some(Ok(DecodedItem::Host(record)))) => {
                if state.hosts.insert(record.name.clone(), record).is_none() {
                    self.wake_dialler.notify_one();
                }
            }
            (KeyKind::Upstream(name), None | Some(Err(_))) => {
                state.missing_upstreams.entry(name).or_insert(now);
            }
            (KeyKind::Host(name), None | Some(Err(_))) => {
                state.hosts.remove(&name);
            }
            (
                KeyKind::Configuration | KeyKind::Evacuation(_) | KeyKind::Other,
                None | Some(Err(_)),
            ) => {}
        }
    }
}
