//! Network partitions between data centres, and between data centres and the platform.

use heathertrack_testkit::client::new_uuid;
use heathertrack_testkit::fixture::{Cluster, ClusterSpec, Load, customers, eventually};
use heathertrack_testkit::upstream::max_concurrent;
use std::time::Duration;

/// Slots of each upstream.
const SLOTS: usize = 8;

/// Returns whether `name` is a host of the first data centre, which has two of the four.
fn in_first_data_centre(name: &str) -> bool {
    name == "e1" || name == "e2"
}

#[tokio::test(flavor = "multi_thread")]
async fn both_sides_of_a_partition_keep_serving_and_start_nothing_twice() {
    let cluster = Cluster::start(ClusterSpec::default().with_relays()).await;
    // 12 callers with tasks of 30 ms.
    let load = Load::start(&cluster, "pirita-souvenirs", 12, 30);
    tokio::time::sleep(Duration::from_millis(500)).await;

    // The first data centre reaches neither the platform nor the second data centre.
    cluster.partition(|from, to| {
        let platform = Cluster::is_platform(to) && in_first_data_centre(from);
        platform
            || (!Cluster::is_platform(to) && in_first_data_centre(from) != in_first_data_centre(to))
    });
    // Longer than the heartbeat timeout of 1.6 s.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut answers_during_partition = Vec::new();
    for host in &cluster.hosts {
        let caller = cluster.caller("kadriorg-crafts");
        let key = format!("{}/1", caller.ticket(&host.caller_address).await);
        answers_during_partition
            .push(caller.submit(&host.caller_address, Some(&key), &cluster.job(5, 10)).await);
    }
    cluster.heal();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let oracle = load.end().await;

    for answer in answers_during_partition {
        assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    }
    cluster.assert_no_violations(&oracle).await;
    cluster.wait_ready().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_hosts_that_both_dispatch_to_an_upstream_start_nothing_twice() {
    let spec = ClusterSpec::default()
        .data_centres(&["ee-north-1"])
        .upstream_slowness(&[1.0, 1.0])
        .with_relays();
    let cluster = Cluster::start(spec).await;
    cluster.partition(|_, to| !Cluster::is_platform(to));
    for host in &cluster.hosts {
        eventually("each host dispatches to every upstream", || async {
            let status = host.status().await.expect("the host answers");
            status.upstreams.len() == cluster.upstreams.len()
        })
        .await;
    }

    // 40 callers with tasks of 20 ms.
    let load = Load::start(&cluster, "pirita-souvenirs", 40, 20);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let starts_during_partition = cluster.starts().await;
    cluster.heal();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let oracle = load.end().await;

    cluster.assert_no_violations(&oracle).await;
    assert!(!starts_during_partition.is_empty(), "no task started during the partition");
    for upstream in &cluster.upstreams {
        // Each of the two hosts fills at most all slots of an upstream.
        let most = max_concurrent(&upstream.starts().await);
        assert!(most <= 2 * SLOTS, "{most} tasks at once");
    }
    cluster.wait_ready().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_partitioned_from_the_platform_gets_list_edits_from_the_others() {
    let spec = ClusterSpec::default().with_relays();
    let mut listed = spec.customers.clone();
    let cluster = Cluster::start(spec).await;
    cluster.partition(|from, to| Cluster::is_platform(to) && in_first_data_centre(from));

    listed.push(("nomme-stone".to_owned(), "workshop".to_owned(), 1.0));
    cluster.write_list("plans", &customers(&listed)).await;

    for host in &cluster.hosts {
        eventually("the edit is in force", || async {
            let caller = cluster.caller("nomme-stone");
            caller.submit(&host.caller_address, None, &cluster.job(1, 1)).await.status == 200
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_minted_key_claimed_across_a_partition_is_not_started_again() {
    let cluster = Cluster::start(ClusterSpec::default().with_relays()).await;
    let caller = cluster.caller("kadriorg-crafts");
    let key = new_uuid();
    let job = cluster.job(1, 5);
    let first = caller.submit(&cluster.hosts[0].caller_address, Some(&key), &job).await;

    // The second data centre reaches the platform but not the key's home.
    cluster.partition(|from, to| {
        in_first_data_centre(from) != in_first_data_centre(to) && !Cluster::is_platform(to)
    });
    let across_partition = caller.submit(&cluster.hosts[2].caller_address, Some(&key), &job).await;
    cluster.heal();

    assert_eq!(first.status, 200);
    assert_eq!(
        across_partition.run(),
        "may_have_run",
        "{}",
        String::from_utf8_lossy(&across_partition.body)
    );
    assert_eq!(cluster.starts().await.len(), 1);
}
