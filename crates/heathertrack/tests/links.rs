//! Links between hosts, and the heartbeat rate of a host in a large fleet.

use heathertrack::membership::links::{
    FAST_HEARTBEAT_PERIOD, Relation, heartbeat_period, heartbeat_timeout,
};
use std::time::Duration;

const FAR: Relation =
    Relation { same_data_centre: false, dispatches: false, jobs: false, seed: false };

/// Heartbeats a second sent by a host without upstreams, in a fleet of three data centres.
fn heartbeats_per_s(hosts: usize, dispatchers: usize) -> f64 {
    let near = hosts / 3 - 1;
    let far_dispatchers = dispatchers * 2 / 3;
    let links = near + far_dispatchers;
    links as f64 / heartbeat_period(links, false).as_secs_f64()
}

#[test]
fn a_few_hosts_all_keep_links() {
    assert!(FAR.needs_link(9));
    assert!(!FAR.needs_link(42));
}

#[test]
fn hosts_that_depend_on_each_other_keep_links_in_fleets_of_any_size() {
    let relations = [
        Relation { same_data_centre: true, ..FAR },
        Relation { dispatches: true, ..FAR },
        Relation { jobs: true, ..FAR },
        Relation { seed: true, ..FAR },
    ];
    for relation in relations {
        assert!(relation.needs_link(300));
    }
}

#[test]
fn heartbeats_of_a_host_stay_bounded_up_to_300_hosts() {
    for (hosts, dispatchers) in [(6, 3), (42, 4), (100, 9), (300, 27)] {
        let heartbeats = heartbeats_per_s(hosts, dispatchers);

        // Rate of a host with 12 links and a period of 100 ms.
        assert!(heartbeats <= 120.0, "{hosts} hosts: {heartbeats}");
    }
}

#[test]
fn a_host_that_others_depend_on_is_considered_gone_within_350_ms() {
    for links in [1, 41, 299] {
        assert_eq!(heartbeat_period(links, true), FAST_HEARTBEAT_PERIOD);
    }
    assert!(heartbeat_timeout(FAST_HEARTBEAT_PERIOD) <= Duration::from_millis(350));
}

#[test]
fn a_host_that_nobody_depends_on_is_considered_gone_within_seconds() {
    for links in [1, 41, 299, 2_000] {
        assert!(heartbeat_timeout(heartbeat_period(links, false)) <= Duration::from_millis(3_500));
    }
}
