//! Measures how soon an edit of the list of plans is in force on every entry host, under several
//! faults.
//!
//! Runs real processes: three data centres of two hosts each, and the stand-in platform.

use argh::FromArgs;
use heathertrack_testkit::fixture::{Cluster, ClusterSpec, customers};
use heathertrack_testkit::platform::Fault;
use std::time::{Duration, Instant};

/// Measures how soon an edit is in force on every entry host.
#[derive(FromArgs)]
struct Arguments {
    /// edits in each condition
    #[argh(option, default = "20")]
    edits: usize,
}

/// Time within which the users require an edit to be in force.
const TARGET: Duration = Duration::from_secs(4);
/// Interval at which the hosts are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which the measurement stops waiting for an edit. It is then recorded with this time.
const EDIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between edits, which spreads them over the polling periods of the hosts.
const EDIT_PAUSE: Duration = Duration::from_millis(137);

/// Fault that is present while the edits are made.
#[derive(Clone, Copy, Debug)]
enum Condition {
    /// No fault.
    Nothing,
    /// The first data centre can't reach the platform; the other data centres can.
    DataCentrePartitioned,
    /// One host of each data centre can't reach the platform; its peers still see it as alive.
    OneHostPartitioned,
    /// Every call to the platform takes 300 ms.
    SlowPlatform,
    /// One host of each data centre is killed.
    HostsKilled,
}

const CONDITIONS: [(&str, Condition); 5] = [
    ("nothing broken", Condition::Nothing),
    ("one data centre cut from the platform", Condition::DataCentrePartitioned),
    ("one host of each data centre cut from the platform", Condition::OneHostPartitioned),
    ("every call to the platform takes 300 ms", Condition::SlowPlatform),
    ("one host of each data centre killed", Condition::HostsKilled),
];

#[tokio::main]
async fn main() {
    let arguments: Arguments = argh::from_env();
    println!("{} edits each; target {} s", arguments.edits, TARGET.as_secs());
    for (name, condition) in CONDITIONS {
        let times = measure(condition, arguments.edits).await;
        let late = times.iter().filter(|time| **time > TARGET).count();
        let quantile_ms =
            |fraction: f64| times[((times.len() - 1) as f64 * fraction) as usize].as_millis();
        println!(
            "{name}: p50 {} ms, longest {} ms, {late} over the target",
            quantile_ms(0.5),
            quantile_ms(1.0)
        );
    }
}

/// Returns the times until each edit was in force on every running host, in ascending order.
async fn measure(condition: Condition, edits: usize) -> Vec<Duration> {
    let spec = ClusterSpec::default()
        .data_centres(&["dc-1", "dc-2", "dc-3"])
        .upstream_slowness(&[1.0])
        .with_relays();
    let customers_at_start = spec.customers.clone();
    let mut cluster = Cluster::start(spec).await;
    inject_fault(&mut cluster, condition).await;
    let mut times = Vec::with_capacity(edits);
    for number in 0..edits {
        tokio::time::sleep(EDIT_PAUSE).await;
        let before = lowest_revision(&cluster).await;
        let mut edited = customers_at_start.clone();
        // The third field is the worth, which each edit sets to another value.
        edited[0].2 = 1.0 + number as f64;
        let began = Instant::now();
        cluster.write_list("plans", &customers(&edited)).await;
        while lowest_revision(&cluster).await <= before && began.elapsed() < EDIT_TIMEOUT {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        times.push(began.elapsed());
    }
    times.sort_unstable();
    times
}

async fn inject_fault(cluster: &mut Cluster, condition: Condition) {
    // Hosts are named e1 to e6, two in each data centre.
    match condition {
        Condition::Nothing => {}
        Condition::DataCentrePartitioned => {
            cluster
                .partition(|from, to| Cluster::is_platform(to) && (from == "e1" || from == "e2"));
        }
        Condition::OneHostPartitioned => cluster.partition(|from, to| {
            Cluster::is_platform(to) && (from == "e1" || from == "e3" || from == "e5")
        }),
        Condition::SlowPlatform => {
            cluster.set_platform_fault(Fault { slow_ms: 300, ..Fault::default() }).await;
        }
        Condition::HostsKilled => {
            // Removing a host ends its process. From the last to the first, so that the indices of
            // the others stay valid.
            for index in [4, 2, 0] {
                cluster.hosts.remove(index);
            }
        }
    }
}

/// Returns the lowest revision of the plans in force on any host.
async fn lowest_revision(cluster: &Cluster) -> u64 {
    let mut lowest = u64::MAX;
    for host in &cluster.hosts {
        let status = host.status().await.expect("a running host answers");
        lowest = lowest.min(status.plans.revision);
    }
    lowest
}
