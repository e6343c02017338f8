//! Killed entry hosts: no task starts twice, every refusal is truthful, and the other hosts keep
//! serving.

use heathertrack_testkit::client::new_uuid;
use heathertrack_testkit::fixture::{Cluster, ClusterSpec, Load, eventually};
use std::time::Duration;

#[tokio::test(flavor = "multi_thread")]
async fn hosts_that_are_killed_and_replaced_start_nothing_twice() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await;
    // 12 callers with tasks of 30 ms.
    let load = Load::start(&cluster, "pirita-souvenirs", 12, 30);

    // One host of each data centre.
    for victim in [0, 3] {
        tokio::time::sleep(Duration::from_millis(700)).await;
        cluster.hosts[victim].process.kill();
        tokio::time::sleep(Duration::from_millis(700)).await;
        cluster.hosts[victim].restart();
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    let oracle = load.end().await;

    cluster.assert_no_violations(&oracle).await;
    cluster.wait_ready().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_of_an_earlier_incarnation_is_not_accepted_by_the_next_one() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await;
    let caller = cluster.caller("kadriorg-crafts");
    let job = cluster.job(1, 5);
    // An idempotency key is a ticket and a number of the caller's choice.
    let used = format!("{}/1", caller.ticket(&cluster.hosts[0].caller_address).await);
    let unused = format!("{}/1", caller.ticket(&cluster.hosts[0].caller_address).await);
    let first = caller.submit(&cluster.hosts[0].caller_address, Some(&used), &job).await;

    cluster.hosts[0].process.kill();
    cluster.hosts[0].restart();
    eventually("the restarted host is ready", || cluster.hosts[0].is_ready()).await;
    let mut answers = Vec::new();
    for host in &cluster.hosts {
        answers.push(caller.submit(&host.caller_address, Some(&used), &job).await);
        answers.push(caller.submit(&host.caller_address, Some(&unused), &job).await);
    }

    assert_eq!(first.status, 200);
    // Only the killed process knew which keys were used, so no host can say that the unused key did
    // not run.
    for answer in answers {
        assert_eq!(answer.run(), "may_have_run", "{}", String::from_utf8_lossy(&answer.body));
    }
    // Only the first submission ran.
    assert_eq!(cluster.starts().await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_whose_home_was_killed_is_never_started_again() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await;
    let caller = cluster.caller("kadriorg-crafts");
    let key = new_uuid();
    let slow = cluster.job(1, 3_000);

    let first = {
        let (caller, host, key, slow) =
            (caller.clone(), cluster.hosts[1].caller_address, key.clone(), slow.clone());
        tokio::spawn(async move { caller.submit(&host, Some(&key), &slow).await })
    };
    eventually("the task has started", || async { cluster.starts().await.len() == 1 }).await;
    cluster.hosts[1].process.kill();
    let first = first.await.expect("the caller does not panic");
    let again = caller.submit(&cluster.hosts[2].caller_address, Some(&key), &slow).await;

    // Status 0 means no response: the connection to the killed host broke.
    assert_eq!(first.status, 0);
    assert_eq!(again.run(), "may_have_run", "{}", String::from_utf8_lossy(&again.body));
    assert_eq!(cluster.starts().await.len(), 1);
}

/// No heartbeat has failed yet on the connection to the killed host, and the next message there is a task.
#[tokio::test(flavor = "multi_thread")]
async fn no_task_is_lost_on_a_connection_that_has_ended_before() {
    for _ in 0..4 {
        let spec = ClusterSpec::default()
            .data_centres(&["ee-north-1"])
            .hosts_per_centre(3)
            .upstream_slowness(&[1.0; 3]);
        let mut cluster = Cluster::start(spec).await;
        let caller = cluster.caller("kadriorg-crafts");
        cluster.hosts[2].process.kill();
        // A tenth of the interval of heartbeats.
        tokio::time::sleep(Duration::from_millis(40)).await;

        let answer =
            caller.submit(&cluster.hosts[0].caller_address, None, &cluster.job(40, 50)).await;

        assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    }
}
