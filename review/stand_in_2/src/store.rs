//! Stand-in of the platform's metadata store.

use crate::http::{Answer, Request, Server};
use crate::json::{Value, object};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MAX_ITEMS: usize = 500;

#[derive(Clone, Debug)]
struct Item {
    /// `None` after its removal.
    value: Option<Vec<u8>>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct Data {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// End and duration of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Store(Arc<(Mutex<Data>, Condvar)>);

impl Store {
    /// Starts a store on a free port of a loopback address.
    pub fn serve(ip: &str) -> (Self, SocketAddr) {
        let store = Store::default();
        let serving = store.clone();
        let address = Server::start(ip, move |request| serving.handle(&request)).address;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.remove_expired();
            }
        });
        (store, address)
    }

    /// Writes a value, as the operator and the minions do.
    pub fn put(&self, key: &str, value: &Value) {
        let mut data = self.0.0.lock().unwrap();
        data.write(key, Some(value.to_string().into_bytes()), 0);
        self.0.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut data = self.0.0.lock().unwrap();
        data.write(key, None, 0);
        self.0.1.notify_all();
    }

    fn remove_expired(&self) {
        let mut data = self.0.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> =
            data.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            data.end_lease(lease);
            self.0.1.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        let body = Value::parse(&request.body);
        let mut data = self.0.0.lock().unwrap();
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/kv-key") => match data.items.get_key_value(&request.parameter("key")) {
                Some((key, item)) if item.value.is_some() => (200, item_json(key, item)),
                _ => (404, object([])),
            },
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (request.parameter("prefix"), request.parameter("after"));
                let present = |(key, item): &(&String, &Item)| {
                    key.starts_with(&prefix) && **key > after && item.value.is_some()
                };
                let mut present = data.items.iter().filter(present);
                let page = present.by_ref().take(MAX_ITEMS);
                let items: Vec<Value> = page.map(|(key, item)| item_json(key, item)).collect();
                let truncated = present.next().is_some();
                let fields = [
                    ("items", items.into()),
                    ("truncated", truncated.into()),
                    ("current_rev", data.revision.into()),
                ];
                (200, object(fields))
            }
            ("GET", "/api/kv-watch") => {
                let prefix = request.parameter("prefix");
                let after: u64 = request.parameter("after").parse().unwrap_or(0);
                let wait = request.parameter("wait_ms").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    let is_newer = |(key, item): &(&String, &Item)| {
                        item.revision > after && key.starts_with(&prefix)
                    };
                    let mut newer: Vec<_> = data.items.iter().filter(is_newer).collect();
                    newer.sort_by_key(|(_, item)| item.revision);
                    let left = end.saturating_duration_since(Instant::now());
                    if !newer.is_empty() || left.is_zero() {
                        let is_cut = newer.len() > MAX_ITEMS;
                        newer.truncate(MAX_ITEMS);
                        let last = newer.last().map_or(data.revision, |(_, item)| item.revision);
                        let revision = if is_cut { last } else { data.revision };
                        let events: Vec<Value> =
                            newer.into_iter().map(|(key, item)| item_json(key, item)).collect();
                        let fields = [("events", events.into()), ("current_rev", revision.into())];
                        break (200, object(fields));
                    }
                    data = self.0.1.wait_timeout(data, left).unwrap().0;
                }
            }
            ("POST", "/api/kv-txn") => data.transact(&body),
            ("POST", "/api/kv-lease") => {
                data.last_lease += 1;
                let lease = data.last_lease;
                let ttl_ms = body.get("ttl_ms").whole().unwrap_or(0).clamp(1_000, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                data.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, object([("lease", lease.into()), ("ttl_ms", ttl_ms.into())]))
            }
            (method, path) => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
                let lease = lease.unwrap_or(0);
                match data.leases.get_mut(&lease) {
                    Some((end, ttl)) if method == "POST" && path.starts_with("/api/kv-keep/") => {
                        *end = Instant::now() + *ttl;
                        (200, object([("ttl_ms", (ttl.as_millis() as u64).into())]))
                    }
                    Some(_) if method == "DELETE" && path.starts_with("/api/kv-lease-end/") => {
                        data.end_lease(lease);
                        (200, object([]))
                    }
                    _ => (404, object([])),
                }
            }
        };
        self.0.1.notify_all();
        Some((answer.0, answer.1.to_string()))
    }
}

impl Data {
    fn write(&mut self, key: &str, value: Option<Vec<u8>>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let known = self.items.get(key).filter(|item| item.value.is_some());
        let created = known.map_or(revision, |item| item.created);
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = |(_, item): &(&String, &Item)| item.lease == lease && item.value.is_some();
        let keys: Vec<String> =
            self.items.iter().filter(of_lease).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.write(&key, None, 0);
        }
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let revision_of = |key: &str| {
            self.items.get(key).filter(|item| item.value.is_some()).map_or(0, |item| item.revision)
        };
        let holds = |row: &Value| {
            revision_of(row.get("key").text()) == row.get("revision").whole().unwrap_or(0)
        };
        if !body.get("precondition").list().iter().all(holds) {
            return (412, object([("items", Vec::new().into())]));
        }
        for put in body.get("puts").list() {
            let lease = put.get("lease").whole().unwrap_or(0);
            if lease > 0 && !self.leases.contains_key(&lease) {
                return (404, object([]));
            }
        }
        for put in body.get("puts").list() {
            let value = decode_base64(put.get("value").text());
            self.write(put.get("key").text(), Some(value), put.get("lease").whole().unwrap_or(0));
        }
        for key in body.get("deletes").list() {
            self.write(key.text(), None, 0);
        }
        (200, object([("revision", self.revision.into())]))
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    match &item.value {
        Some(value) => object([
            ("key", key.into()),
            ("value", encode_base64(value).into()),
            ("revision", item.revision.into()),
            ("created", item.created.into()),
            ("lease", item.lease.into()),
        ]),
        None => object([
            ("key", key.into()),
            ("revision", item.revision.into()),
            ("removed", true.into()),
        ]),
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|char| DIGITS.iter().position(|digit| *digit == char));
    let (mut bytes, mut bits, mut group) = (Vec::new(), 0, 0u32);
    for digit in digits {
        group = group << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((group >> bits) as u8);
        }
    }
    bytes
}
