//! Planned stops: one host under load, and a rolling restart of all hosts.

use heathertrack_testkit::client::new_uuid;
use heathertrack_testkit::fixture::{Cluster, ClusterSpec, Load, WAIT_TIMEOUT};
use std::time::Duration;

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_running_jobs_and_hands_over_their_answers() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await;
    let caller = cluster.caller("kadriorg-crafts");
    let stopping = cluster.hosts[0].caller_address;
    let by_ticket = format!("{}/1", caller.ticket(&stopping).await);
    let unused = format!("{}/1", caller.ticket(&stopping).await);
    let (minted, running) = (new_uuid(), new_uuid());
    let job = cluster.job(3, 20);
    let long = cluster.job(2, 1_500);
    let first = caller.submit(&stopping, Some(&by_ticket), &job).await;
    let second = caller.submit(&stopping, Some(&minted), &job).await;
    let in_progress = {
        let (caller, key, long) = (caller.clone(), running.clone(), long.clone());
        tokio::spawn(async move { caller.submit(&stopping, Some(&key), &long).await })
    };
    tokio::time::sleep(Duration::from_millis(300)).await;

    cluster.hosts[0].process.terminate();
    let in_progress = in_progress.await.expect("the caller does not panic");
    let status = cluster.hosts[0].process.wait_for_end(WAIT_TIMEOUT).await;
    let mut again = Vec::new();
    for host in &cluster.hosts[1..] {
        again.push((caller.submit(&host.caller_address, Some(&by_ticket), &job).await, &first));
        again.push((caller.submit(&host.caller_address, Some(&minted), &job).await, &second));
        again
            .push((caller.submit(&host.caller_address, Some(&running), &long).await, &in_progress));
    }
    let late = caller.submit(&cluster.hosts[2].caller_address, Some(&unused), &job).await;

    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    assert_eq!(in_progress.status, 200, "{}", String::from_utf8_lossy(&in_progress.body));
    for (answer, original) in again {
        assert_eq!(answer, *original, "{}", String::from_utf8_lossy(&answer.body));
    }
    // An unused ticket remains valid at the host that took over.
    assert_eq!(late.status, 200, "{}", String::from_utf8_lossy(&late.body));
    // The tasks of the jobs by ticket, by minted key, in progress, and of the unused ticket.
    assert_eq!(cluster.starts().await.len(), 3 + 3 + 2 + 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_under_load_aborts_no_job_and_keeps_its_answers() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await;
    let caller = cluster.caller("kadriorg-crafts");
    let key = format!("{}/1", caller.ticket(&cluster.hosts[0].caller_address).await);
    let job = cluster.job(2, 10);
    let first = caller.submit(&cluster.hosts[0].caller_address, Some(&key), &job).await;
    // 10 callers with tasks of 20 ms.
    let load = Load::start(&cluster, "pirita-souvenirs", 10, 20);

    for index in 0..cluster.hosts.len() {
        cluster.hosts[index].process.terminate();
        let status = cluster.hosts[index].process.wait_for_end(WAIT_TIMEOUT).await;
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
        cluster.hosts[index].restart();
        cluster.wait_ready().await;
    }
    let oracle = load.end().await;
    let again = caller.submit(&cluster.hosts[3].caller_address, Some(&key), &job).await;

    // The answer is passed on in each handover.
    assert_eq!(again, first, "{}", String::from_utf8_lossy(&again.body));
    cluster.assert_no_violations(&oracle).await;
    // Callers of a stopped host get no connection or a refusal; no running job is aborted.
    let aborted = oracle.statuses().get(&502).copied().unwrap_or_default();
    assert_eq!(aborted, 0, "{:?}", oracle.statuses());
}
