//! Stand-in of the platform: a key-value store and a host list, with injected faults.

mod fault;
mod keys;
mod published;

pub use fault::Fault;
pub use keys::Keys;
pub use published::Published;

use crate::server::{Action, Whole, json, serve, status, tagged};
use heathertrack_wire::store::{RangeRequest, TxnRequest};
use hyper::StatusCode;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;

/// Stand-in of the platform. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    keys: Keys,
    /// Snapshot that serves reads while `stale_reads` is set.
    stale: Option<Keys>,
    hosts: Published,
    /// Host lists by reader, for hosts that reach their peers through relays.
    hosts_for: BTreeMap<String, Published>,
    fault: Fault,
    calls: u64,
}

impl Platform {
    /// Serves on an address until the process ends.
    pub async fn serve(self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        serve(listener, move |request| self.clone().answer(request)).await;
        Ok(())
    }

    async fn answer(self, request: Whole) -> Action {
        if let Some(name) = request.path.strip_prefix("/control/") {
            return self.control(name, &request);
        }
        let fault = self.lock().fault.clone();
        if fault.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(fault.slow_ms)).await;
        }
        if let Some(rest) = request.path.strip_prefix("/hosts") {
            return self.hosts(rest.trim_start_matches('/'), &request.known_tag, &fault);
        }
        if fault.down {
            return Action::Close;
        }
        let action = self.store(&request);
        // The call takes effect; only its response is lost.
        if fault.lose_answers { Action::Close } else { action }
    }

    fn hosts(&self, name: &str, known_tag: &str, fault: &Fault) -> Action {
        if fault.hosts_down {
            return Action::Close;
        }
        let inner = self.lock();
        let published = inner.hosts_for.get(name).unwrap_or(&inner.hosts);
        let list = published.as_of(Duration::from_millis(fault.hosts_lag_ms));
        tagged(list, &format!("\"{}\"", list.revision), known_tag)
    }

    fn store(&self, request: &Whole) -> Action {
        let mut inner = self.lock();
        inner.calls += 1;
        match request.path.as_str() {
            "/v3/kv/range" => match serde_json::from_slice::<RangeRequest>(&request.body) {
                Ok(range) => json(&inner.stale.as_ref().unwrap_or(&inner.keys).range(&range)),
                Err(_) => status(StatusCode::BAD_REQUEST),
            },
            "/v3/kv/txn" => match serde_json::from_slice::<TxnRequest>(&request.body) {
                Ok(txn) => json(&inner.keys.txn(&txn)),
                Err(_) => status(StatusCode::BAD_REQUEST),
            },
            "/v3/kv/deleterange" => match serde_json::from_slice::<RangeRequest>(&request.body) {
                Ok(range) => {
                    inner.keys.delete(&range);
                    json(&serde_json::json!({}))
                }
                Err(_) => status(StatusCode::BAD_REQUEST),
            },
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    fn control(&self, name: &str, request: &Whole) -> Action {
        let mut inner = self.lock();
        match name {
            "fault" => match serde_json::from_slice::<Fault>(&request.body) {
                Ok(fault) => {
                    inner.stale = fault.stale_reads.then(|| inner.keys.clone());
                    inner.fault = fault;
                    status(StatusCode::OK)
                }
                Err(_) => status(StatusCode::BAD_REQUEST),
            },
            "calls" => json(&inner.calls),
            _ => match (name.strip_prefix("hosts"), serde_json::from_slice(&request.body)) {
                (Some(""), Ok(hosts)) => {
                    inner.hosts.publish(hosts);
                    status(StatusCode::OK)
                }
                (Some(rest), Ok(hosts)) => {
                    let name = rest.trim_start_matches('/').to_owned();
                    inner.hosts_for.entry(name).or_default().publish(hosts);
                    status(StatusCode::OK)
                }
                _ => status(StatusCode::BAD_REQUEST),
            },
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no request panics while it holds the lock")
    }
}
