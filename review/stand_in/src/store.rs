//! Stand-in of the platform's metadata store.
//!
//! Each entry host has a path of its own to each minion, so that one can be cut: the entries of
//! minions name the address of the path of the host that reads them. In the same way the entries of
//! hosts name the relay between the host that reads them and the host of the entry, if there is one.

use crate::http::{Request, serve};
use crate::json::{Json, base64, from_base64};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Largest number of items on one page.
const PAGE_ITEMS: usize = 500;
/// Shortest lease that is granted (`ttl_min_ms`).
const TTL_MIN: Duration = Duration::from_millis(1_000);
/// Longest lease that is granted.
const TTL_MAX: Duration = Duration::from_secs(600);

/// Address that sorts before all others.
const MIN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Text that stands for the address of a minion in its entry.
pub const ADDRESS: &str = "@address@";

#[derive(Clone)]
enum Value {
    /// As a client of the store sent it.
    Base64(String),
    /// As the operator or a minion wrote it.
    Plain(String),
}

#[derive(Clone)]
struct Item {
    /// `None` once the key was removed.
    value: Option<Value>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// End and duration of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
    /// Addresses of each minion by the key of its entry, one for each host.
    paths: BTreeMap<String, Vec<SocketAddr>>,
    /// Relays by the index of the host that reads and the address to which they lead.
    routes: BTreeMap<(usize, SocketAddr), SocketAddr>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Serves the host with this index.
    pub fn serve(&self, listener: TcpListener, host: usize) {
        let store = self.clone();
        serve(listener, move |request| Some(store.handle(request, host)));
    }

    /// Starts to end leases that were not renewed.
    pub fn spawn_expiry(&self) {
        let store = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                store.end_expired_leases();
            }
        });
    }

    /// Writes a value as the operator or a minion does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.put(key, Some(Value::Plain(value.to_owned())), 0);
        self.shared.1.notify_all();
    }

    /// Sets the addresses of a minion, one for each host.
    pub fn set_paths(&self, key: &str, addresses: Vec<SocketAddr>) {
        self.shared.0.lock().unwrap().paths.insert(key.to_owned(), addresses);
    }

    /// Lets a host read the address of a relay where another host has written its own address.
    pub fn set_route(&self, host: usize, own: SocketAddr, relay: SocketAddr) {
        self.shared.0.lock().unwrap().routes.insert((host, own), relay);
    }

    fn end_expired_leases(&self) {
        let mut state = self.shared.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            state.end_lease(lease);
            self.shared.1.notify_all();
        }
    }

    fn handle(&self, request: &Request, host: usize) -> (u16, String) {
        let (path, method) = (request.path.as_str(), request.method.as_str());
        let body = Json::parse(&request.body);
        let mut state = self.shared.0.lock().unwrap();
        let answer = match (method, path) {
            ("GET", "/api/kv-key") => match state.items.get_key_value(request.query("key")) {
                Some((key, item)) if item.value.is_some() => {
                    let revision = state.revision;
                    (200, format!("{{\"current_rev\":{revision},{}", &state.row(key, item, host)[1..]))
                }
                _ => (404, "{}".to_owned()),
            },
            ("GET", "/api/kv-range") => {
                (200, state.range(request.query("prefix"), request.query("after"), host))
            }
            ("GET", "/api/kv-watch") => {
                let (prefix, after) = (request.query("prefix"), request.query_number("after"));
                let end = Instant::now() + Duration::from_millis(request.query_number("wait_ms"));
                while !state.has_events(prefix, after) && Instant::now() < end {
                    let left = end.saturating_duration_since(Instant::now());
                    state = self.shared.1.wait_timeout(state, left).unwrap().0;
                }
                (200, state.events(prefix, after, host))
            }
            ("POST", "/api/kv-lease") => {
                let asked = Duration::from_millis(body.get("ttl_ms").number().unwrap_or(0));
                let ttl = asked.clamp(TTL_MIN, TTL_MAX);
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            ("POST", "/api/kv-txn") => state.transact(&body),
            ("POST", _) if path.starts_with("/api/kv-keep/") => {
                let lease = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", _) if path.starts_with("/api/kv-lease-end/") => {
                state.end_lease(path["/api/kv-lease-end/".len()..].parse().unwrap_or(0));
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        self.shared.1.notify_all();
        answer
    }
}

impl State {
    fn put(&mut self, key: &str, value: Option<Value>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let before = self.items.get(key).filter(|item| item.value.is_some());
        let created = before.map_or(revision, |item| item.created);
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let of_lease = |(_, item): &(&String, &Item)| item.lease == lease && item.value.is_some();
        let keys: Vec<String> =
            self.items.iter().filter(of_lease).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.put(&key, None, 0);
        }
    }

    fn range(&self, prefix: &str, after: &str, host: usize) -> String {
        let present = self.items.iter().filter(|(key, item)| {
            item.value.is_some() && key.starts_with(prefix) && key.as_str() > after
        });
        let rows: Vec<String> = present.map(|(key, item)| self.row(key, item, host)).collect();
        let page = &rows[..rows.len().min(PAGE_ITEMS)];
        format!(
            "{{\"items\":[{}],\"truncated\":{},\"current_rev\":{}}}",
            page.join(","),
            rows.len() > PAGE_ITEMS,
            self.revision
        )
    }

    fn has_events(&self, prefix: &str, after: u64) -> bool {
        self.items.iter().any(|(key, item)| item.revision > after && key.starts_with(prefix))
    }

    fn events(&self, prefix: &str, after: u64, host: usize) -> String {
        let newer =
            self.items.iter().filter(|(key, item)| item.revision > after && key.starts_with(prefix));
        let rows: Vec<String> = newer.map(|(key, item)| self.row(key, item, host)).collect();
        format!("{{\"events\":[{}],\"current_rev\":{}}}", rows.join(","), self.revision)
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let revision_of = |key: &str| {
            self.items.get(key).filter(|item| item.value.is_some()).map_or(0, |item| item.revision)
        };
        let holds = |row: &Json| {
            Some(revision_of(row.get("key").text())) == row.get("revision").number()
        };
        if !body.get("precondition").list().iter().all(holds) {
            return (412, "{\"items\":[]}".to_owned());
        }
        let is_forbidden = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        let puts = body.get("puts").list();
        if puts.iter().any(|put| is_forbidden(put.get("key").text())) {
            return (403, "{}".to_owned());
        }
        let lease_of = |put: &Json| put.get("lease").number().unwrap_or(0);
        if puts.iter().any(|put| lease_of(put) > 0 && !self.leases.contains_key(&lease_of(put))) {
            return (404, "{}".to_owned());
        }
        for put in puts {
            let value = Value::Base64(put.get("value").text().to_owned());
            self.put(put.get("key").text(), Some(value), lease_of(put));
        }
        for key in body.get("deletes").list() {
            self.put(key.text(), None, 0);
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }

    /// Returns a value with the addresses replaced for which this host has a relay.
    fn routed(&self, base64_text: &str, host: usize) -> String {
        let mut text = from_base64(base64_text);
        for ((_, own), relay) in self.routes.range((host, MIN_ADDRESS)..(host + 1, MIN_ADDRESS)) {
            text = text.replace(&format!("\"{own}\""), &format!("\"{relay}\""));
        }
        base64(text.as_bytes())
    }

    /// Returns an item as the host with this index reads it.
    fn row(&self, key: &str, item: &Item, host: usize) -> String {
        let Item { revision, created, lease, .. } = item;
        let value = match &item.value {
            Some(Value::Base64(text)) => self.routed(text, host),
            Some(Value::Plain(text)) => {
                let path = self.paths.get(key).and_then(|paths| paths.get(host));
                let path = path.map(SocketAddr::to_string).unwrap_or_default();
                base64(text.replace(ADDRESS, &path).as_bytes())
            }
            None => {
                return format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}");
            }
        };
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
             \"created\":{created},\"lease\":{lease}}}"
        )
    }
}
