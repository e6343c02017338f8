//! Parts of the installation that [`crate::bench::Bench`] measures: upstreams, settings of the
//! hosts, and lists.

use crate::setup::{
    DATA_CENTRES, HOSTS_PER_CENTRE, SLOTS, Setup, UPSTREAM_ROUND_TRIP, UPSTREAMS_PER_CENTRE,
    accelerators, slowness,
};
use crate::workload::{CUSTOMERS, WORTHS};
use heathertrack_platform::Etcd;
use heathertrack_testkit::client::Client;
use heathertrack_testkit::fixture::{customers, free_address, free_listeners, wait_for_platform};
use heathertrack_testkit::upstream::{Mode, Setting, Upstream};
use heathertrackd::{BaselinePolicy, Settings};
use hyper::Method;
use serde_json::{Value, json};
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Number of upstreams in a rack.
pub const UPSTREAMS_PER_RACK: usize = 8;

/// Returns the usual behaviour of an upstream.
pub fn upstream_setting(index: usize) -> Setting {
    let latency_us = u64::try_from(UPSTREAM_ROUND_TRIP.as_micros()).unwrap_or_default();
    Setting { mode: Mode::Work, slowness: slowness(index % UPSTREAMS_PER_CENTRE), latency_us }
}

pub fn customer_name(customer: usize) -> String {
    format!("customer-{customer}")
}

/// Starts all upstreams in this process, and appends their entries to the host list `listed`.
pub async fn start_upstreams(setup: Setup, listed: &mut Vec<Value>) -> Vec<Upstream> {
    let (cores, memory_mb) = setup.upstream_size();
    let mut upstreams = Vec::new();
    for index in 0..DATA_CENTRES * UPSTREAMS_PER_CENTRE {
        let upstream = Upstream::new(SLOTS as usize, upstream_setting(index));
        let address = free_address();
        let listener = TcpListener::bind(address).await.expect("an upstream can listen");
        tokio::spawn(upstream.clone().serve_on(listener));
        listed.push(json!({
            "name": format!("u{index}"), "address": address.to_string(),
            "data_centre": data_centre(index / UPSTREAMS_PER_CENTRE),
            "rack": format!("r{}", index / UPSTREAMS_PER_RACK), "role": "upstream", "state": "live",
            "slots": SLOTS, "connections": 64, "cores": cores, "memory_mb": memory_mb,
            "accelerators": accelerators(index % UPSTREAMS_PER_CENTRE),
        }));
        upstreams.push(upstream);
    }
    upstreams
}

fn data_centre(index: usize) -> String {
    format!("dc-{}", index + 1)
}

/// Returns the settings of an entry host, by its index over all data centres.
pub fn host_settings(
    index: usize,
    platform: SocketAddr,
    setup: Setup,
    baseline: Option<BaselinePolicy>,
) -> Settings {
    let text = json!({
        "name": format!("e{index}"),
        "data_centre": data_centre(index / HOSTS_PER_CENTRE),
        "listen": free_listeners(),
        "platform": {
            "store": [platform.to_string()],
            "host_list": format!("http://{platform}/hosts"),
        },
        "limits": {"drain_notice_ms": 0},
    });
    let mut settings =
        Settings::read("settings", &text.to_string()).expect("the settings are valid");
    settings.policy.objective = setup.objective();
    settings.policy.baseline = baseline;
    settings
}

/// Returns the entry of an entry host in the host list.
pub fn host_entry(settings: &Settings) -> Value {
    json!({
        "name": settings.name.as_str(), "address": settings.listen.peers.to_string(),
        "data_centre": settings.data_centre.as_str(), "role": "entry", "state": "live",
    })
}

/// Publishes the host list and writes the lists of plans and allowances.
pub async fn publish_lists(platform: SocketAddr, hosts: &[Value]) {
    wait_for_platform(&platform).await;
    let client = Client::new("");
    let list = json!({"revision": 1, "hosts": hosts}).to_string();
    client.call(Method::POST, &platform, "/control/hosts", None, &list).await;
    let entry = |n: usize| (customer_name(n), "plan".to_owned(), WORTHS[n]);
    let plans = customers(&(0..CUSTOMERS).map(entry).collect::<Vec<_>>());
    // Tasks and starts are limited only by the upstreams.
    let allowances = json!({"plans": {"plan": {
        "tasks_at_once": 60_000, "starts_per_second": 60_000.0, "burst": 60_000.0,
        "tasks_per_job": 340, "task_cores": 2_000, "task_memory_mb": 8_192,
        "task_accelerators": 1, "deadline_ms": 30_000,
    }}});
    write_list(platform, "plans", &plans).await;
    write_list(platform, "allowances", &allowances).await;
}

async fn write_list(platform: SocketAddr, list: &str, value: &Value) {
    use heathertrack_platform::{Store, Swap};
    let key = format!("/heathertrack/lists/{list}");
    // Revision 0: the key does not exist yet.
    let swap = Swap { key, expected: 0, value: value.to_string().into_bytes() };
    Etcd::new([platform]).swap(vec![swap]).await.expect("the stand-in accepts the list");
}
