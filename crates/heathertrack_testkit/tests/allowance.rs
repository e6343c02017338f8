//! Allowances: limits hold for the sum over all hosts, and unused shares move to hosts that need
//! them.
//!
//! `allowance(plan, tasks_at_once, starts_per_second)` sets the allowance of a customer's plan; the
//! customer of these tests has the plan `workshop`.

use heathertrack::share::SEATS;
use heathertrack_testkit::client::Answer;
use heathertrack_testkit::fixture::{Cluster, ClusterSpec, Load, eventually};
use heathertrack_testkit::upstream::max_concurrent;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Submits jobs of one customer to the hosts in turn, all at the same time. Each has `tasks` tasks
/// of `ms` milliseconds.
async fn submit_round_robin(cluster: &Cluster, jobs: usize, tasks: usize, ms: u64) -> Vec<Answer> {
    let mut sending = JoinSet::new();
    for number in 0..jobs {
        let host = cluster.hosts[number % cluster.hosts.len()].caller_address;
        let caller = cluster.caller("kadriorg-crafts");
        let job = cluster.job(tasks, ms);
        sending.spawn(async move { caller.submit(&host, None, &job).await });
    }
    sending.join_all().await
}

/// Longest deadline of the plans in tests that wait until seats are inherited.
const SHORT_DEADLINE: Duration = Duration::from_secs(3);
/// Time until a host would use seats that it inherits: the heartbeat timeout of 1.6 s, a read of the
/// table each second, the longest deadline and two seconds more; doubled.
const INHERITANCE: Duration = Duration::from_secs(16);

/// Returns a job with the longest deadline that [`SHORT_DEADLINE`] allows, with four tasks of 300 ms.
fn short_job() -> String {
    let task = |index: usize| json!({"path": format!("/cut/{index}"), "body": {"us": 300_000}});
    let tasks: Vec<Value> = (0..4).map(task).collect();
    json!({"deadline_ms": SHORT_DEADLINE.as_millis(), "tasks": tasks}).to_string()
}

/// Returns the number of seats that the hosts use, all hosts that answer taken together.
async fn seats_in_use(cluster: &Cluster) -> usize {
    let mut seats = 0;
    for host in &cluster.hosts {
        seats += host.status().await.map_or(0, |status| status.seats);
    }
    seats
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_at_once_stay_within_the_allowance_over_all_hosts() {
    // One upstream of nominal speed has more slots (8) than the allowance permits, so that only the
    // allowance limits the tasks.
    let spec = ClusterSpec::default()
        .data_centres(&["ee-north-1"])
        .hosts_per_centre(3)
        .upstream_slowness(&[1.0]);
    let cluster = Cluster::start(spec.allowance("workshop", 5, 1_000.0)).await;

    let answers = submit_round_robin(&cluster, 12, 10, 30).await;

    for answer in answers {
        assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    }
    let starts = cluster.starts().await;
    assert_eq!(starts.len(), 120);
    assert!(max_concurrent(&starts) <= 5, "{} tasks at once", max_concurrent(&starts));
}

#[tokio::test(flavor = "multi_thread")]
async fn one_host_can_use_the_whole_allowance_when_the_others_are_idle() {
    let spec = ClusterSpec::default()
        .data_centres(&["ee-north-1"])
        .hosts_per_centre(3)
        .upstream_slowness(&[1.0]);
    let cluster = Cluster::start(spec.allowance("workshop", 6, 1_000.0)).await;
    let caller = cluster.caller("kadriorg-crafts");

    let answer = caller.submit(&cluster.hosts[1].caller_address, None, &cluster.job(60, 100)).await;

    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    let most = max_concurrent(&cluster.starts().await);
    assert_eq!(most, 6, "one host uses the whole allowance and no more");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_host_removes_only_its_own_share_of_the_allowance() {
    let spec = ClusterSpec::default()
        .data_centres(&["ee-north-1"])
        .hosts_per_centre(3)
        .upstream_slowness(&[1.0]);
    let mut cluster = Cluster::start(spec.allowance("workshop", 6, 1_000.0)).await;
    cluster.hosts[2].process.kill();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let caller = cluster.caller("kadriorg-crafts");

    let answer = caller.submit(&cluster.hosts[0].caller_address, None, &cluster.job(40, 50)).await;

    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    let most = max_concurrent(&cluster.starts().await);
    // The killed host's third of the six is not usable until other hosts inherit it.
    assert!((4..=6).contains(&most), "{most} tasks at once");
}

#[tokio::test(flavor = "multi_thread")]
async fn starts_per_second_stay_within_the_allowance_over_all_hosts() {
    const RATE: f64 = 40.0;
    // The fixture sets the burst to the starts of one second.
    const BURST: f64 = RATE;
    let spec = ClusterSpec::default()
        .data_centres(&["ee-north-1"])
        .hosts_per_centre(3)
        .upstream_slowness(&[1.0; 3]);
    let cluster = Cluster::start(spec.allowance("workshop", 500, RATE)).await;
    let began = Instant::now();

    // 20 callers with tasks of 1 ms.
    let load = Load::start(&cluster, "kadriorg-crafts", 20, 1);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let oracle = load.end().await;

    let most = BURST + RATE * began.elapsed().as_secs_f64();
    cluster.assert_no_violations(&oracle).await;
    let starts = cluster.starts().await.len();
    assert!(starts as f64 <= most, "{starts} starts, at most {most}");
    assert!(starts as f64 > BURST, "{starts} starts: the load did not exceed one burst");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_the_allowance_cannot_start_in_time_is_refused_and_starts_nothing() {
    let spec = ClusterSpec::default()
        .data_centres(&["ee-north-1"])
        .hosts_per_centre(2)
        .upstream_slowness(&[1.0]);
    let cluster = Cluster::start(spec.allowance("workshop", 100, 5.0)).await;
    let caller = cluster.caller("kadriorg-crafts");
    let host = cluster.hosts[0].caller_address;
    // At five starts per second, 100 tasks take far longer than the deadline of one second.
    let infeasible = r#"{"deadline_ms": 1000, "tasks": [TASKS]}"#
        .replace("TASKS", &vec![r#"{"path": "/a"}"#; 100].join(","));

    let refused = caller.submit(&host, None, &infeasible).await;

    assert_eq!((refused.status, refused.run().as_str()), (429, "not_run"));
    assert_eq!(cluster.starts().await.len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_and_frozen_hosts_do_not_exceed_the_allowance() {
    let spec = ClusterSpec::default()
        .data_centres(&["ee-north-1"])
        .hosts_per_centre(3)
        .upstream_slowness(&[1.0, 1.0]);
    let cluster = Cluster::start(spec.with_relays().allowance("workshop", 6, 1_000.0)).await;
    // 12 callers with tasks of 60 ms.
    let load = Load::start(&cluster, "kadriorg-crafts", 12, 60);
    tokio::time::sleep(Duration::from_millis(700)).await;

    // The first host is cut off from its peers and from the platform for five seconds, the second
    // is suspended for the last three of them; both outlast the heartbeat timeout of 1.6 s.
    cluster.partition(|from, to| from == "e1" || to == "e1");
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.hosts[1].process.suspend();
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.heal();
    cluster.hosts[1].process.resume();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let oracle = load.end().await;

    cluster.assert_no_violations(&oracle).await;
    let starts = cluster.starts().await;
    assert!(max_concurrent(&starts) <= 6, "{} tasks at once", max_concurrent(&starts));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_whose_network_refuses_connections_keeps_its_share_to_itself() {
    let spec = ClusterSpec::default()
        .data_centres(&["ee-north-1"])
        .hosts_per_centre(3)
        .upstream_slowness(&[1.0, 1.0])
        .allowance("workshop", 6, 1_000.0)
        .longest_deadline(SHORT_DEADLINE);
    let cluster = Cluster::start(spec.with_relays()).await;

    // The first host runs on, but connections to it and from it are refused.
    cluster.refuse(|from, to| from == "e1" || to == "e1");
    tokio::time::sleep(INHERITANCE).await;
    let mut sending = JoinSet::new();
    for host in &cluster.hosts {
        let (caller, host) = (cluster.caller("kadriorg-crafts"), host.caller_address);
        sending.spawn(async move { caller.submit(&host, None, &short_job()).await });
    }

    for answer in sending.join_all().await {
        assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    }
    let most = max_concurrent(&cluster.starts().await);
    assert!(most <= 6, "{most} tasks at once, {} seats", seats_in_use(&cluster).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_share_of_a_killed_host_returns_with_its_next_process() {
    let spec = ClusterSpec::default()
        .data_centres(&["ee-north-1"])
        .hosts_per_centre(3)
        .upstream_slowness(&[1.0])
        .longest_deadline(SHORT_DEADLINE);
    let mut cluster = Cluster::start(spec).await;

    cluster.hosts[2].process.kill();
    cluster.hosts[2].restart();

    let seats = usize::from(SEATS);
    eventually("all seats are in use", || async { seats_in_use(&cluster).await == seats }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_share_of_a_killed_host_lies_unused_while_its_next_process_knows_no_lists() {
    let spec = ClusterSpec::default()
        .data_centres(&["ee-north-1"])
        .hosts_per_centre(2)
        .upstream_slowness(&[1.0]);
    let mut cluster = Cluster::start(spec.with_relays()).await;

    // The next process gets the lists neither from the store nor from its peer. Tasks of the killed
    // one may run for 20 s, the longest deadline.
    cluster.refuse(|_, to| !Cluster::is_platform(to));
    cluster.write_list("allowances", &json!("no list")).await;
    cluster.hosts[1].process.kill();
    cluster.hosts[1].restart();
    tokio::time::sleep(Duration::from_secs(6)).await;

    let status = cluster.hosts[1].status().await.expect("the host answers");
    assert_eq!((status.ready, status.seats), (false, 0));
}

/// Its host closes the connection of such a task at the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_that_outlasts_its_deadline_is_not_counted_with_later_ones() {
    let spec = ClusterSpec::default()
        .data_centres(&["ee-north-1"])
        .hosts_per_centre(1)
        .upstream_slowness(&[1.0]);
    let cluster = Cluster::start(spec.allowance("workshop", 1, 1_000.0)).await;
    let caller = cluster.caller("kadriorg-crafts");
    let host = cluster.hosts[0].caller_address;
    // The task takes two seconds.
    let outlasting = r#"{"deadline_ms": 500, "tasks": [{"path": "/a", "body": {"us": 2000000}}]}"#;

    let late = caller.submit(&host, None, outlasting).await;
    let next = caller.submit(&host, None, &cluster.job(1, 10)).await;

    assert_eq!((late.status, next.status), (504, 200), "{late:?}, {next:?}");
    let starts = cluster.starts().await;
    assert_eq!((starts.len(), max_concurrent(&starts)), (2, 1), "{starts:?}");
}

/// An upstream counts the time that a task has left from its arrival.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_that_reaches_its_upstream_late_keeps_its_permit_until_it_has_ended() {
    let spec = ClusterSpec::default()
        .data_centres(&["ee-north-1"])
        .hosts_per_centre(1)
        .upstream_slowness(&[1.0]);
    let cluster = Cluster::start(spec.allowance("workshop", 1, 1_000.0)).await;
    let caller = cluster.caller("kadriorg-crafts");
    let host = cluster.hosts[0].caller_address;
    // The task takes two seconds.
    let outlasting = r#"{"deadline_ms": 500, "tasks": [{"path": "/a", "body": {"us": 2000000}}]}"#;
    let job = cluster.job(1, 10);

    cluster.upstreams[0].process.suspend();
    let late = caller.submit(&host, None, outlasting);
    let next = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cluster.upstreams[0].process.resume();
        caller.submit(&host, None, &job).await
    };
    let (late, next) = tokio::join!(late, next);

    assert_eq!((late.status, next.status), (504, 200), "{late:?}, {next:?}");
    let starts = cluster.starts().await;
    assert_eq!((starts.len(), max_concurrent(&starts)), (2, 1), "{starts:?}");
}
