use crate::http::{Received, serve};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

/// The platform's key-value store: items with leases, watches and transactions.
#[derive(Clone, Default)]
pub struct Store(Arc<Shared>);

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Last change of each key; those of removed keys stay for the watches.
    items: BTreeMap<String, Change>,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

struct Change {
    revision: u64,
    created: u64,
    value: Option<Vec<u8>>,
    lease: u64,
}

/// Whether the store turns one machine away.
#[derive(Clone, Default)]
pub struct Door(Arc<AtomicBool>);

impl Door {
    /// Makes the store answer this machine 503, or serve it.
    pub fn refuse(&self, refuses: bool) {
        self.0.store(refuses, Ordering::Relaxed);
    }
}

impl Store {
    /// Ends leases that have run out.
    pub fn open() -> Self {
        let store = Store::default();
        let expiring = store.clone();
        tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(50)).await;
                let now = Instant::now();
                let ended: Vec<u64> = {
                    let state = expiring.0.state.lock().unwrap();
                    let leases = state.leases.iter().filter(|(_, (_, end))| *end <= now);
                    leases.map(|(lease, _)| *lease).collect()
                };
                ended.into_iter().for_each(|lease| expiring.end_lease(lease));
            }
        });
        store
    }

    /// Serves the store at an address of its own for one machine, so that it can be turned away alone.
    pub async fn serve(&self, ip: &str) -> (SocketAddr, Door) {
        let (store, door) = (self.clone(), Door::default());
        let is_refused = door.0.clone();
        let address = serve(format!("{ip}:0").parse().unwrap(), move |request| {
            let (store, is_refused) = (store.clone(), is_refused.clone());
            async move {
                sleep(Duration::from_millis(2)).await;
                if is_refused.load(Ordering::Relaxed) {
                    return Some((503, json!({})));
                }
                Some(store.handle(request).await)
            }
        });
        (address.await, door)
    }

    pub fn put(&self, key: &str, value: &Value) -> u64 {
        self.write(key, Some(value.to_string().into_bytes()), 0)
    }

    pub fn put_bytes(&self, key: &str, value: Vec<u8>) -> u64 {
        self.write(key, Some(value), 0)
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None, 0);
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.0.state.lock().unwrap();
        let present = state
            .items
            .iter()
            .filter(|(key, change)| key.starts_with(prefix) && change.value.is_some());
        present.map(|(key, _)| key.clone()).collect()
    }

    fn write(&self, key: &str, value: Option<Vec<u8>>, lease: u64) -> u64 {
        let mut state = self.0.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let known = state.items.get(key).filter(|known| known.value.is_some());
        let created = known.map_or(revision, |known| known.created);
        state.items.insert(key.to_owned(), Change { revision, created, value, lease });
        drop(state);
        self.0.changed.notify_waiters();
        revision
    }

    fn end_lease(&self, lease: u64) {
        let keys: Vec<String> = {
            let mut state = self.0.state.lock().unwrap();
            state.leases.remove(&lease);
            let held = state
                .items
                .iter()
                .filter(|(_, change)| change.lease == lease && change.value.is_some());
            held.map(|(key, _)| key.clone()).collect()
        };
        keys.iter().for_each(|key| self.remove(key));
    }

    async fn handle(&self, request: Received) -> (u16, Value) {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/kv-range") => (200, self.range(&request)),
            ("GET", "/api/kv-watch") => (200, self.watch(&request).await),
            ("POST", "/api/kv-txn") => self.transact(&request),
            ("POST", "/api/kv-lease") => {
                let ttl_ms = request.body["ttl_ms"].as_u64().unwrap_or(1_000);
                let ttl = Duration::from_millis(ttl_ms);
                let mut state = self.0.state.lock().unwrap();
                let lease = state.leases.keys().last().unwrap_or(&100) + 1;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, json!({ "lease": lease, "ttl_ms": ttl_ms }))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease: u64 = path["/api/kv-keep/".len()..].parse().unwrap_or_default();
                let mut state = self.0.state.lock().unwrap();
                let Some((ttl, end)) = state.leases.get_mut(&lease) else {
                    return (404, json!({}));
                };
                *end = Instant::now() + *ttl;
                (200, json!({ "lease": lease, "ttl_ms": ttl.as_millis() as u64 }))
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                self.end_lease(path["/api/kv-lease-end/".len()..].parse().unwrap_or_default());
                (200, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    fn range(&self, request: &Received) -> Value {
        let (prefix, after) = (request.query("prefix"), request.query("after"));
        let state = self.0.state.lock().unwrap();
        let present = state.items.iter().filter(|(key, change)| {
            key.starts_with(&prefix) && **key > after && change.value.is_some()
        });
        let mut present = present.peekable();
        let (mut page, mut bytes) = (Vec::new(), 0);
        while page.len() < PAGE_ITEMS
            && bytes < PAGE_BYTES
            && let Some((key, change)) = present.next()
        {
            bytes += change.value.as_ref().map_or(0, Vec::len);
            page.push(event(key, change));
        }
        let truncated = present.peek().is_some();
        json!({ "items": page, "truncated": truncated, "current_rev": state.revision })
    }

    async fn watch(&self, request: &Received) -> Value {
        let (prefix, after) = (request.query("prefix"), request.number("after"));
        let newer = || {
            let state = self.0.state.lock().unwrap();
            let newer = state
                .items
                .iter()
                .filter(|(key, change)| change.revision > after && key.starts_with(&prefix));
            let mut newer: Vec<(u64, Value)> =
                newer.map(|(key, change)| (change.revision, event(key, change))).collect();
            newer.sort_by_key(|(revision, _)| *revision);
            let events: Vec<Value> = newer.into_iter().map(|(_, event)| event).collect();
            (events, state.revision)
        };
        let end = Instant::now() + Duration::from_millis(request.number("wait_ms"));
        loop {
            let changed = self.0.changed.notified();
            let (events, revision) = newer();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return json!({ "events": events, "current_rev": revision });
            }
            let _ = timeout(left, changed).await;
        }
    }

    fn transact(&self, request: &Received) -> (u16, Value) {
        let mut revision = self.0.state.lock().unwrap().revision;
        for put in request.body["puts"].as_array().into_iter().flatten() {
            let value = STANDARD.decode(put["value"].as_str().unwrap_or_default());
            let lease = put["lease"].as_u64().unwrap_or_default();
            if lease > 0 && !self.0.state.lock().unwrap().leases.contains_key(&lease) {
                return (404, json!({}));
            }
            let key = put["key"].as_str().unwrap_or_default();
            revision = self.write(key, Some(value.unwrap_or_default()), lease);
        }
        (200, json!({ "revision": revision }))
    }
}

fn event(key: &str, change: &Change) -> Value {
    match &change.value {
        Some(value) => json!({
            "key": key, "value": STANDARD.encode(value), "revision": change.revision,
            "created": change.created, "lease": change.lease,
        }),
        None => json!({ "key": key, "revision": change.revision, "removed": true }),
    }
}
