//! Entry hosts that are frozen for longer than every time limit and then resume.

use heathertrack_testkit::client::new_uuid;
use heathertrack_testkit::fixture::{Cluster, ClusterSpec, Load};
use std::time::Duration;

/// Longer than the heartbeat timeout (1.6 s), the term of a loan and the pause after which a host
/// can no longer rely on its seats (10 s).
const LONG_PAUSE: Duration = Duration::from_secs(12);

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_is_frozen_and_thawed_starts_nothing_twice() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    // 12 callers with tasks of 30 ms.
    let load = Load::start(&cluster, "pirita-souvenirs", 12, 30);
    tokio::time::sleep(Duration::from_millis(500)).await;

    cluster.hosts[0].process.suspend();
    tokio::time::sleep(LONG_PAUSE).await;
    cluster.hosts[0].process.resume();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let oracle = load.end().await;

    cluster.assert_no_violations(&oracle).await;
    cluster.wait_ready().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_to_a_frozen_home_is_not_started_elsewhere() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let caller = cluster.caller("kadriorg-crafts");
    let ticket = format!("{}/1", caller.ticket(&cluster.hosts[0].caller_address).await);
    let minted = new_uuid();
    let job = cluster.job(1, 5);
    // The host that is frozen below becomes the minted key's home.
    let first = caller.submit(&cluster.hosts[0].caller_address, Some(&minted), &job).await;

    cluster.hosts[0].process.suspend();
    let sent = {
        let (caller, host, key, job) =
            (caller.clone(), cluster.hosts[1].caller_address, ticket.clone(), job.clone());
        tokio::spawn(async move { caller.submit(&host, Some(&key), &job).await })
    };
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.hosts[0].process.resume();
    let sent = sent.await.expect("the caller does not panic");
    let again = caller.submit(&cluster.hosts[2].caller_address, Some(&minted), &job).await;

    assert_eq!(first.status, 200);
    assert_eq!(sent.status, 200, "{}", String::from_utf8_lossy(&sent.body));
    assert_eq!(again, first);
    // The jobs of both keys, of one task each, ran once.
    assert_eq!(cluster.starts().await.len(), 2);
}
