//! Upstreams that leave, fail, hang, or drop connections during a request.

use heathertrack_testkit::client::{Client, new_uuid};
use heathertrack_testkit::fixture::{Cluster, ClusterSpec, eventually};
use heathertrack_testkit::oracle::Oracle;
use heathertrack_testkit::platform::Fault;
use heathertrack_testkit::upstream::{Mode, Setting};
use std::time::Duration;

/// Time after an upstream is published as leaving within which hosts must stop sending it tasks.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// Returns two hosts and three upstreams of nominal speed in one data centre.
fn one_data_centre() -> ClusterSpec {
    ClusterSpec::default().data_centres(&["ee-north-1"]).upstream_slowness(&[1.0, 1.0, 1.0])
}

/// Delay with which the platform serves its host list, in milliseconds.
const LIST_LAG_MS: u64 = 2_000;
/// Slots of the three upstreams of [`one_data_centre`], eight each.
const ALL_SLOTS: usize = 24;

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_finishes_its_tasks_and_gets_no_new_ones_though_the_list_lags() {
    let mut cluster = Cluster::start(one_data_centre()).await;
    cluster.set_platform_fault(Fault { hosts_lag_ms: LIST_LAG_MS, ..Fault::default() }).await;
    let caller = cluster.caller("pirita-souvenirs");
    let host = cluster.hosts[0].caller_address;
    let job = cluster.job(60, 400);
    let in_flight = {
        let (caller, job) = (caller.clone(), job.clone());
        tokio::spawn(async move { caller.submit(&host, None, &job).await })
    };
    eventually("the upstream has started a task", || async {
        !cluster.upstreams[0].starts().await.is_empty()
    })
    .await;

    cluster.upstreams[0].state = "leaving".to_owned();
    cluster.publish().await;
    tokio::time::sleep(LEAVING_BOUND).await;
    let before = cluster.upstreams[0].starts().await.len();
    let later = caller.submit(&host, None, &job).await;
    let after = cluster.upstreams[0].starts().await;
    let in_flight = in_flight.await.expect("the caller does not panic");

    assert_eq!(in_flight.status, 200, "{}", String::from_utf8_lossy(&in_flight.body));
    assert_eq!(later.status, 200, "{}", String::from_utf8_lossy(&later.body));
    assert_eq!(after.len(), before);
    assert!(after.iter().all(|start| start.ended_us.is_some()));
}

/// Submits each job twice while every upstream is in `mode`, and asserts that all jobs fail as a
/// whole and no task runs twice.
async fn assert_jobs_fail_without_rerun(mode: Mode) {
    let cluster = Cluster::start(one_data_centre()).await;
    let caller = cluster.caller("kadriorg-crafts");
    for upstream in &cluster.upstreams {
        upstream.set(Setting::default().mode(mode)).await;
    }
    let mut oracle = Oracle::default();

    for host in &cluster.hosts {
        let key = format!("{}/1", caller.ticket(&host.caller_address).await);
        let job = cluster.job(3, 5);
        for _ in 0..2 {
            let answer = caller.submit(&host.caller_address, Some(&key), &job).await;
            assert_eq!(answer.run(), "may_have_run", "{}", String::from_utf8_lossy(&answer.body));
            oracle.add_answer(&key, 3, answer);
        }
    }

    assert_eq!(oracle.violations(&cluster.starts().await), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_connection_breaks_fails_as_a_whole_and_is_not_run_again() {
    assert_jobs_fail_without_rerun(Mode::DropConnection).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_on_a_failing_upstream_fails_as_a_whole_and_is_not_run_again() {
    assert_jobs_fail_without_rerun(Mode::Fail).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_connection_closes_before_it_is_read_may_have_run() {
    assert_jobs_fail_without_rerun(Mode::Refuse).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_failed_by_an_upstream_return_their_permits() {
    let cluster = Cluster::start(one_data_centre().allowance("workshop", 2, 1_000.0)).await;
    let caller = cluster.caller("kadriorg-crafts");
    for upstream in &cluster.upstreams {
        upstream.set(Setting::default().mode(Mode::Fail)).await;
    }
    let long = r#"{"deadline_ms": 20000, "tasks": [{"path": "/a"}]}"#;
    let short = r#"{"deadline_ms": 10000, "tasks": [{"path": "/a"}]}"#;
    let mut statuses = Vec::new();

    for (number, job) in [long, long, short, short].into_iter().enumerate() {
        let host = cluster.hosts[number % 2].caller_address;
        statuses.push(caller.submit(&host, None, job).await.status);
    }

    // Each was failed by an upstream; none waited for a permit until its deadline.
    assert_eq!(statuses, vec![502; 4]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_on_a_hanging_upstream_fails_at_its_deadline() {
    let cluster = Cluster::start(one_data_centre()).await;
    let caller = cluster.caller("kadriorg-crafts");
    for upstream in &cluster.upstreams {
        upstream.set(Setting::default().mode(Mode::Hang)).await;
    }
    let job = r#"{"deadline_ms": 1000, "tasks": [{"path": "/a"}, {"path": "/b"}]}"#;

    let answer = caller.submit(&cluster.hosts[0].caller_address, None, job).await;

    assert_eq!((answer.status, answer.run().as_str()), (504, "may_have_run"));
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_complete_after_an_upstream_is_killed() {
    let mut cluster = Cluster::start(one_data_centre()).await;
    let caller = cluster.caller("kadriorg-crafts");
    cluster.upstreams[0].process.kill();
    let mut oracle = Oracle::default();

    for number in 0..30 {
        let host = cluster.hosts[number % 2].caller_address;
        let key = format!("{}/1", caller.ticket(&host).await);
        let answer = caller.submit(&host, Some(&key), &cluster.job(4, 5)).await;
        assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
        oracle.add_answer(&key, 4, answer);
    }

    assert_eq!(oracle.violations(&cluster.starts().await), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn queued_tasks_of_a_cancelled_job_never_start() {
    let cluster = Cluster::start(one_data_centre()).await;
    let caller = cluster.caller("pirita-souvenirs");
    let host = cluster.hosts[0].caller_address;
    let long = cluster.job(48, 600);
    let filler = {
        let (caller, long) = (caller.clone(), long.clone());
        tokio::spawn(async move { caller.submit(&host, None, &long).await })
    };
    eventually("the upstreams are full", || async { cluster.starts().await.len() >= ALL_SLOTS })
        .await;
    let key = format!("{}/1", caller.ticket(&host).await);
    let queued = {
        let (caller, key, job) = (caller.clone(), key.clone(), cluster.job(5, 5_000));
        tokio::spawn(async move { caller.submit(&host, Some(&key), &job).await })
    };
    tokio::time::sleep(Duration::from_millis(100)).await;

    let cancelled = caller.cancel(&cluster.hosts[1].caller_address, &key).await;
    let queued = queued.await.expect("the caller does not panic");
    let again = caller.submit(&host, Some(&key), &cluster.job(5, 5_000)).await;
    let filler = filler.await.expect("the caller does not panic");

    assert_eq!(cancelled.status, 409, "{}", String::from_utf8_lossy(&cancelled.body));
    assert_eq!((&queued, &again), (&cancelled, &cancelled));
    assert_eq!(filler.status, 200);
    let mut oracle = Oracle::default();
    oracle.add_answer(&key, 5, cancelled);
    assert_eq!(oracle.violations(&cluster.starts().await), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelling_a_job_does_not_affect_another_customers_job_with_the_same_key() {
    let cluster = Cluster::start(one_data_centre()).await;
    let (one, other) = (cluster.caller("pirita-souvenirs"), cluster.caller("kadriorg-crafts"));
    let host = cluster.hosts[0].caller_address;
    let send = |caller: &Client, key: Option<String>, job: String| {
        let caller = caller.clone();
        tokio::spawn(async move { caller.submit(&host, key.as_deref(), &job).await })
    };
    let filler = send(&one, None, cluster.job(48, 600));
    eventually("the upstreams are full", || async { cluster.starts().await.len() >= ALL_SLOTS })
        .await;
    let key = new_uuid();
    let kept = send(&one, Some(key.clone()), cluster.job(40, 5));
    let dropped = send(&other, Some(key.clone()), cluster.job(40, 5));
    tokio::time::sleep(Duration::from_millis(150)).await;

    let cancelled = other.cancel(&host, &key).await;
    let (filler, kept) = (filler.await, kept.await);
    let dropped = dropped.await.expect("the caller does not panic");

    assert_eq!(cancelled, dropped);
    let kept = kept.expect("the caller does not panic");
    assert_eq!(kept.status, 200, "{}", String::from_utf8_lossy(&kept.body));
    assert_eq!(filler.expect("the caller does not panic").status, 200);
}
