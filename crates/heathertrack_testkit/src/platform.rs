//! Stand-in of the platform: a key-value store and a host list, with injected faults.

mod fault;
mod host_list_history;
mod keys;

pub use fault::Fault;
pub use host_list_history::HostListHistory;
pub use keys::Keys;

use crate::server::{Action, ReceivedRequest, json, json_with_tag, serve, status};
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
    stale_keys: Option<Keys>,
    host_list: HostListHistory,
    /// Host lists that differ from the common one, by the name of the host that reads them: with
    /// relays, each host reaches its peers at other addresses.
    host_lists_by_reader: BTreeMap<String, HostListHistory>,
    fault: Fault,
    /// Number of calls to the store so far.
    calls: u64,
}

impl Platform {
    /// Serves on an address until the process ends.
    pub async fn serve(self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        serve(listener, move |request| self.clone().handle(request)).await;
        Ok(())
    }

    async fn handle(self, request: ReceivedRequest) -> Action {
        if let Some(name) = request.path.strip_prefix("/control/") {
            return self.control(name, &request);
        }
        let fault = self.lock().fault.clone();
        if fault.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(fault.slow_ms)).await;
        }
        if let Some(rest) = request.path.strip_prefix("/hosts") {
            return self.serve_host_list(
                rest.trim_start_matches('/'),
                &request.if_none_match,
                &fault,
            );
        }
        if fault.down {
            return Action::Close;
        }
        let action = self.serve_store(&request);
        // The call takes effect; only its response is lost.
        if fault.lose_answers { Action::Close } else { action }
    }

    /// Serves the list for the host `name`, or the common list if it has none of its own.
    fn serve_host_list(&self, name: &str, if_none_match: &str, fault: &Fault) -> Action {
        if fault.hosts_down {
            return Action::Close;
        }
        let inner = self.lock();
        let history = inner.host_lists_by_reader.get(name).unwrap_or(&inner.host_list);
        let list = history.as_of(Duration::from_millis(fault.hosts_lag_ms));
        json_with_tag(list, &format!("\"{}\"", list.revision), if_none_match)
    }

    fn serve_store(&self, request: &ReceivedRequest) -> Action {
        let mut inner = self.lock();
        inner.calls += 1;
        match request.path.as_str() {
            "/v3/kv/range" => match serde_json::from_slice::<RangeRequest>(&request.body) {
                Ok(range) => json(&inner.stale_keys.as_ref().unwrap_or(&inner.keys).range(&range)),
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

    /// Handles a request of a test: `fault`, `calls`, `hosts` or `hosts/<name of the reader>`.
    fn control(&self, name: &str, request: &ReceivedRequest) -> Action {
        let mut inner = self.lock();
        match name {
            "fault" => match serde_json::from_slice::<Fault>(&request.body) {
                Ok(fault) => {
                    inner.stale_keys = fault.stale_reads.then(|| inner.keys.clone());
                    inner.fault = fault;
                    status(StatusCode::OK)
                }
                Err(_) => status(StatusCode::BAD_REQUEST),
            },
            "calls" => json(&inner.calls),
            _ => match (name.strip_prefix("hosts"), serde_json::from_slice(&request.body)) {
                (Some(""), Ok(hosts)) => {
                    inner.host_list.publish(hosts);
                    status(StatusCode::OK)
                }
                (Some(rest), Ok(hosts)) => {
                    let name = rest.trim_start_matches('/').to_owned();
                    inner.host_lists_by_reader.entry(name).or_default().publish(hosts);
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
