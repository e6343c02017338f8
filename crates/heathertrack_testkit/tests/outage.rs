//! Faults of the platform's store: outages, slow calls, stale reads and lost answers.

use heathertrack_testkit::client::new_uuid;
use heathertrack_testkit::fixture::{Cluster, ClusterSpec, Load, customers, eventually};
use heathertrack_testkit::platform::Fault;
use std::time::Duration;

/// Callers submit jobs while the store goes through each kind of fault in turn.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_store_starts_nothing_twice() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    // 12 callers with tasks of 20 ms.
    let load = Load::start(&cluster, "pirita-souvenirs", 12, 20);
    let faults = [
        Fault { down: true, ..Fault::default() },
        Fault::default(),
        Fault { lose_answers: true, ..Fault::default() },
        Fault { slow_ms: 700, ..Fault::default() },
        Fault { stale_reads: true, ..Fault::default() },
        // Neither the store nor the host list responds.
        Fault { down: true, hosts_down: true, ..Fault::default() },
    ];

    for fault in faults {
        cluster.set_platform_fault(fault).await;
        // Longer than the delay of a slow request.
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
    cluster.set_platform_fault(Fault::default()).await;
    let oracle = load.end().await;

    cluster.assert_no_violations(&oracle).await;
}

/// A minted key is a UUID that the caller made itself. Its home is stored as a claim, while a
/// ticket names its home, so that only minted keys need the store.
#[tokio::test(flavor = "multi_thread")]
async fn while_the_store_is_down_tickets_work_and_minted_keys_are_refused_truthfully() {
    // Without the store, a host answers `not_run` for a minted key only if every process started at
    // least twice the clock skew before the key was minted.
    let cluster = Cluster::start(ClusterSpec::default().limit("clock_skew_ms", 50)).await;
    let caller = cluster.caller("kadriorg-crafts");
    let job = cluster.job(1, 5);
    let ran = new_uuid();
    let first = caller.submit(&cluster.hosts[0].caller_address, Some(&ran), &job).await;

    cluster.set_platform_fault(Fault { down: true, ..Fault::default() }).await;
    let ticket = format!("{}/1", caller.ticket(&cluster.hosts[0].caller_address).await);
    let by_ticket = caller.submit(&cluster.hosts[3].caller_address, Some(&ticket), &job).await;
    let fresh = caller.submit(&cluster.hosts[0].caller_address, Some(&new_uuid()), &job).await;
    let at_home = caller.submit(&cluster.hosts[0].caller_address, Some(&ran), &job).await;
    let elsewhere = caller.submit(&cluster.hosts[2].caller_address, Some(&ran), &job).await;

    assert_eq!((first.status, by_ticket.status), (200, 200));
    assert_eq!((fresh.status, fresh.run().as_str()), (503, "not_run"));
    assert_eq!(at_home, first);
    assert_eq!(elsewhere.run(), "may_have_run");
    // The jobs of the first key and of the ticket, of one task each.
    assert_eq!(cluster.starts().await.len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_answer_was_lost_starts_its_key_once() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let caller = cluster.caller("kadriorg-crafts");
    let job = cluster.job(1, 5);
    let key = new_uuid();

    cluster.set_platform_fault(Fault { lose_answers: true, ..Fault::default() }).await;
    let lost = caller.submit(&cluster.hosts[0].caller_address, Some(&key), &job).await;
    let none_started = cluster.starts().await.is_empty();
    cluster.set_platform_fault(Fault::default()).await;
    // The stored claim names the first host as the home of the key. Host 3 passes the job on to it,
    // and it starts the job, as it has not started it before.
    let again = caller.submit(&cluster.hosts[3].caller_address, Some(&key), &job).await;
    let at_home = caller.submit(&cluster.hosts[0].caller_address, Some(&key), &job).await;

    assert_eq!(lost.status, 503, "{}", String::from_utf8_lossy(&lost.body));
    assert!(none_started);
    assert_eq!(again.status, 200, "{}", String::from_utf8_lossy(&again.body));
    assert_eq!(at_home, again);
    assert_eq!(cluster.starts().await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_starts_while_the_store_is_down_takes_the_lists_from_a_peer() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await;
    cluster.set_platform_fault(Fault { down: true, ..Fault::default() }).await;

    cluster.hosts[0].process.kill();
    cluster.hosts[0].restart();
    eventually("the host is ready", || cluster.hosts[0].is_ready()).await;
    let caller = cluster.caller("kadriorg-crafts");
    let key = format!("{}/1", caller.ticket(&cluster.hosts[0].caller_address).await);
    let answer =
        caller.submit(&cluster.hosts[0].caller_address, Some(&key), &cluster.job(3, 5)).await;

    // The table of seats is in the store, so the new process holds no seats and runs on loans from
    // its peers only.
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_list_never_reverts_to_an_older_revision_and_a_faulty_one_changes_nothing() {
    let spec = ClusterSpec::default();
    let mut listed = spec.customers.clone();
    let cluster = Cluster::start(spec).await;
    // A new customer with its plan and worth.
    listed.push(("nomme-stone".to_owned(), "workshop".to_owned(), 1.0));
    cluster.write_list("plans", &customers(&listed)).await;
    let all_hosts_serve = || async {
        let caller = cluster.caller("nomme-stone");
        let mut all = true;
        for host in &cluster.hosts {
            let answer = caller.submit(&host.caller_address, None, &cluster.job(1, 1)).await;
            all &= answer.status == 200;
        }
        all
    };
    eventually("the edit is in force", all_hosts_serve).await;

    cluster.set_platform_fault(Fault { stale_reads: true, ..Fault::default() }).await;
    // Longer than the 2 s within which every host reads the store.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let kept_when_stale = all_hosts_serve().await;
    cluster.set_platform_fault(Fault::default()).await;
    // The field `plan` is misspelt and missing.
    cluster.write_list("plans", &serde_json::json!({"customers": {"x": {"plam": 1}}})).await;
    eventually("every host reports the findings", || async {
        let mut reported = 0;
        for host in &cluster.hosts {
            let status = host.status().await;
            // The findings in the faulty list, under the name that the status gives them.
            let faults = status.and_then(|status| status.plans.faults).unwrap_or_default();
            reported += usize::from(faults.contains("customers.x"));
        }
        reported == cluster.hosts.len()
    })
    .await;
    let kept_when_faulty = all_hosts_serve().await;

    assert!(kept_when_stale);
    assert!(kept_when_faulty);
}
