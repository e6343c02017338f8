//! Emulated store of the configuration and the records of upstreams and hosts.

use super::network::{Network, Node};
use heathertrack::name::{Host, Upstream};
use heathertrack_platform::{
    Changes, Fact, Fault, HostRecord, Item, LeaseKey, Metadata, ReadFault, Subject,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Timeout of a call, in addition to the wait of a watch.
const TIMEOUT: Duration = Duration::from_millis(600);
/// Key of the configuration.
const CONFIGURATION: &str = "configuration";

/// Content of the store.
#[derive(Debug, Default)]
pub struct StoreState {
    items: RefCell<BTreeMap<String, Item>>,
    facts: RefCell<Vec<Fact>>,
    revision: Cell<u64>,
    changed: Notify,
    pub down: Cell<bool>,
}

impl StoreState {
    /// Stores a fact under its key.
    pub fn put(&self, fact: Fact) {
        let key = match &fact {
            Fact::Configuration(_) => CONFIGURATION.to_owned(),
            Fact::Upstream(record) => format!("upstream/{}", record.name),
            Fact::Host(record) => format!("host/{}", record.name),
        };
        let mut facts = self.facts.borrow_mut();
        facts.push(fact);
        let value = ((facts.len() - 1) as u64).to_le_bytes().to_vec();
        self.write(key, Some(value));
    }

    /// Removes an upstream's record.
    pub fn remove_upstream(&self, name: &Upstream) {
        self.write(format!("upstream/{name}"), None);
    }

    fn write(&self, key: String, value: Option<Vec<u8>>) {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        self.items.borrow_mut().insert(key.clone(), Item { key, revision, value });
        self.changed.notify_waiters();
    }

    fn after(&self, revision: u64) -> Changes {
        let items = self.items.borrow();
        let newer = items.values().filter(|item| item.revision > revision).cloned().collect();
        Changes { items: newer, revision: self.revision.get() }
    }
}

/// The store as one host reaches it.
#[derive(Clone, Debug)]
pub struct HostStore {
    pub state: Rc<StoreState>,
    pub network: Rc<Network>,
    pub host: usize,
}

impl HostStore {
    async fn call<T>(&self, wait: Duration, answer: impl Future<Output = T>) -> Result<T, Fault> {
        let own = Node::Host(self.host);
        let call = async {
            self.network.deliver(own, Node::Store).await;
            if self.state.down.get() {
                return Err(Fault::BadAnswer("unavailable".to_owned()));
            }
            let answer = answer.await;
            self.network.deliver(Node::Store, own).await;
            Ok(answer)
        };
        let lost = |_| Fault::AnswerLost("no answer".to_owned());
        timeout(TIMEOUT + wait, call).await.map_err(lost)?
    }
}

impl HostStore {
    async fn watch(
        &self,
        wanted: impl Fn(&Item) -> bool,
        after: u64,
        wait: Duration,
    ) -> Result<Changes, ReadFault> {
        let newer = || {
            let mut changes = self.state.after(after);
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
        Ok(self.call(wait, answer).await?)
    }
}

impl Metadata for HostStore {
    async fn read(&self) -> Result<Changes, Fault> {
        self.call(Duration::ZERO, async { self.state.after(0) }).await
    }

    async fn changes(&self, after: u64, wait: Duration) -> Result<Changes, ReadFault> {
        self.watch(|_| true, after, wait).await
    }

    async fn configuration(&self, after: u64, wait: Duration) -> Result<Changes, ReadFault> {
        self.watch(|item| item.key == CONFIGURATION, after, wait).await
    }

    async fn announce(&self, host: &HostRecord, _: Duration) -> Result<LeaseKey, Fault> {
        self.call(Duration::ZERO, async { self.state.put(Fact::Host(host.clone())) }).await?;
        Ok(LeaseKey(self.host as u64))
    }

    async fn renew(&self, _: LeaseKey) -> Result<bool, Fault> {
        self.call(Duration::ZERO, async { true }).await
    }

    async fn withdraw(&self, _: LeaseKey) -> Result<(), Fault> {
        self.call(Duration::ZERO, async {}).await
    }

    fn subject(&self, key: &str) -> Subject {
        if key == CONFIGURATION {
            return Subject::Configuration;
        }
        match key.split_once('/') {
            Some(("upstream", name)) => Subject::Upstream(Upstream::new(name)),
            Some(("host", name)) => Subject::Host(Host::new(name)),
            _ => Subject::Other,
        }
    }

    fn decode(&self, _: &str, value: &[u8]) -> Result<Fact, String> {
        let index: [u8; 8] = value.try_into().map_err(|_| "not an index".to_owned())?;
        let facts = self.state.facts.borrow();
        facts.get(u64::from_le_bytes(index) as usize).cloned().ok_or("no such fact".to_owned())
    }
}
