//! Emulated store of the configuration and the records of upstreams and hosts.

use super::network::{Network, Node};
use heathertrack::name::{DataCentre, Host, Upstream};
use heathertrack_platform::{
    CallError, Changes, DecodedItem, HostRecord, Item, KeyKind, LeaseId, MetadataStore,
    Registration, WatchError,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Timeout of a call, in addition to the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Key of the configuration.
const CONFIGURATION: &str = "configuration";

/// Content of the store.
#[derive(Debug, Default)]
pub struct StoreState {
    /// Items by key. The value of an item is its index in `decoded_items`, as eight bytes; `None`
    /// means that it was removed.
    items: RefCell<BTreeMap<String, Item>>,
    /// All items that were ever stored.
    decoded_items: RefCell<Vec<DecodedItem>>,
    revision: Cell<u64>,
    /// Revision up to which the history is gone.
    compacted: Cell<u64>,
    /// Notified after every write.
    changed: Notify,
    /// Content that some hosts are answered with instead of the current one.
    frozen_views: RefCell<BTreeMap<usize, Changes>>,
    /// Whether all calls fail.
    pub down: Cell<bool>,
}

impl StoreState {
    /// Stores an item under its key.
    pub fn put(&self, item: DecodedItem) {
        let key = match &item {
            DecodedItem::Configuration(_) => CONFIGURATION.to_owned(),
            DecodedItem::Evacuation(data_centre) => evacuation_key(data_centre),
            DecodedItem::Upstream(record) => format!("upstream/{}", record.name),
            DecodedItem::Host(record) => format!("host/{}", record.name),
        };
        let mut decoded_items = self.decoded_items.borrow_mut();
        decoded_items.push(item);
        let value = ((decoded_items.len() - 1) as u64).to_le_bytes().to_vec();
        self.write(key, Some(value));
    }

    /// Removes an upstream's record.
    pub fn remove_upstream(&self, name: &Upstream) {
        self.write(format!("upstream/{name}"), None);
    }

    /// Removes the request to evacuate a data centre.
    pub fn remove_evacuation(&self, data_centre: &DataCentre) {
        self.write(evacuation_key(data_centre), None);
    }

    /// Discards the history, so that items have to be read in full.
    pub fn compact(&self) {
        self.compacted.set(self.revision.get());
    }

    fn write(&self, key: String, value: Option<Vec<u8>>) {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        self.items.borrow_mut().insert(key.clone(), Item { key, revision, value });
        self.changed.notify_waiters();
    }

    /// Answers a host with the current content from now on, whatever changes.
    pub fn freeze_view(&self, host: usize) {
        let view = self.after(host, 0);
        self.frozen_views.borrow_mut().insert(host, view);
    }

    /// Ends [`Self::freeze_view`].
    pub fn restore_view(&self, host: usize) {
        self.frozen_views.borrow_mut().remove(&host);
        self.changed.notify_waiters();
    }

    /// Returns the items that changed after a revision, as a host sees them.
    fn after(&self, host: usize, revision: u64) -> Changes {
        let is_newer = |item: &&Item| item.revision > revision;
        if let Some(view) = self.frozen_views.borrow().get(&host) {
            let newer = view.items.iter().filter(is_newer).cloned().collect();
            return Changes { items: newer, revision: view.revision };
        }
        let items = self.items.borrow();
        let newer = items.values().filter(is_newer).cloned().collect();
        Changes { items: newer, revision: self.revision.get() }
    }
}

fn evacuation_key(data_centre: &DataCentre) -> String {
    format!("evacuation/{data_centre}")
}

/// The store as one host reaches it.
#[derive(Clone, Debug)]
pub struct HostStore {
    pub state: Rc<StoreState>,
    pub network: Rc<Network>,
    pub host: usize,
}

impl HostStore {
    /// Calls the store over the network. `wait` is the longest time that `answer` may take.
    async fn call<T>(
        &self,
        wait: Duration,
        answer: impl Future<Output = T>,
    ) -> Result<T, CallError> {
        let own = Node::Host(self.host);
        let call = async {
            self.network.deliver(own, Node::Store).await;
            if self.state.down.get() {
                return Err(CallError::BadResponse("unavailable".to_owned()));
            }
            let answer = answer.await;
            self.network.deliver(Node::Store, own).await;
            Ok(answer)
        };
        let lost = |_| CallError::ResponseLost("no answer".to_owned());
        timeout(CALL_TIMEOUT + wait, call).await.map_err(lost)?
    }
}

impl HostStore {
    async fn watch(
        &self,
        wanted: impl Fn(&Item) -> bool,
        after: u64,
        wait: Duration,
    ) -> Result<Changes, WatchError> {
        let newer = || {
            let mut changes = self.state.after(self.host, after);
            changes.items.retain(&wanted);
            changes
        };
        let answer = async {
            let change = async {
                while newer().items.is_empty() {
                    self.state.changed.notified().await;
                }
            };
            // If nothing changes within the wait, the answer is empty.
            let _ = timeout(wait, change).await;
            newer()
        };
        if after < self.state.compacted.get() {
            return self.call(Duration::ZERO, async { Err(WatchError::Compacted) }).await?;
        }
        Ok(self.call(wait, answer).await?)
    }
}

impl MetadataStore for HostStore {
    async fn read_directory(&self) -> Result<Changes, CallError> {
        let mut changes = self.read_all().await?;
        changes.items.retain(|item| !matches!(self.key_kind(&item.key), KeyKind::Upstream(_)));
        Ok(changes)
    }

    async fn read_all(&self) -> Result<Changes, CallError> {
        let mut changes =
            self.call(Duration::ZERO, async { self.state.after(self.host, 0) }).await?;
        changes.items.retain(|item| item.value.is_some());
        Ok(changes)
    }

    async fn watch(&self, after: u64, wait: Duration) -> Result<Changes, WatchError> {
        self.watch(|_| true, after, wait).await
    }

    async fn watch_operators(&self, after: u64, wait: Duration) -> Result<Changes, WatchError> {
        self.watch(|item| self.key_kind(&item.key).is_operators(), after, wait).await
    }

    async fn register(&self, host: &HostRecord, _: Duration) -> Result<Registration, CallError> {
        let put = async {
            self.state.put(DecodedItem::Host(host.clone()));
            self.state.revision.get()
        };
        let revision = self.call(Duration::ZERO, put).await?;
        Ok(Registration { lease: LeaseId(self.host as u64), revision })
    }

    async fn renew_lease(&self, _: LeaseId) -> Result<bool, CallError> {
        self.call(Duration::ZERO, async { true }).await
    }

    async fn revoke_lease(&self, _: LeaseId) -> Result<(), CallError> {
        self.call(Duration::ZERO, async {}).await
    }

    fn key_kind(&self, key: &str) -> KeyKind {
        if key == CONFIGURATION {
            return KeyKind::Configuration;
        }
        match key.split_once('/') {
            Some(("evacuation", name)) => KeyKind::Evacuation(DataCentre::new(name)),
            Some(("upstream", name)) => KeyKind::Upstream(Upstream::new(name)),
            Some(("host", name)) => KeyKind::Host(Host::new(name)),
            _ => KeyKind::Other,
        }
    }

    fn decode(&self, _: &str, value: &[u8]) -> Result<DecodedItem, String> {
        let index: [u8; 8] =
            value.try_into().map_err(|_| "the value is not an index of eight bytes".to_owned())?;
        let decoded_items = self.state.decoded_items.borrow();
        decoded_items
            .get(u64::from_le_bytes(index) as usize)
            .cloned()
            .ok_or("the value is not the index of a stored item".to_owned())
    }
}
