//! Links between hosts, and the heartbeat rate of a host in a large fleet.

use heathertrack::membership::links::{
    FAST_HEARTBEAT_PERIOD, Relation, heartbeat_period, heartbeat_timeout,
};
use std::time::Duration;

/// Argument of [`heartbeat_period`]: the receiver of a heartbeat depends on its sender, which
/// dispatches or has submitted jobs to the receiver.
const DEPENDS: bool = true;

/// Relation of two hosts that have no reason to keep a link, except in a small fleet.
const FAR: Relation =
    Relation { same_data_centre: false, dispatches: false, has_submitted_jobs: false, seed: false };

/// Heartbeats a second sent by a host without upstreams, in a fleet of three data centres. It keeps
/// links with the hosts of its own data centre and with the dispatchers of the others.
fn heartbeats_per_s(hosts: usize, dispatchers: usize) -> f64 {
    let near = hosts / 3 - 1;
    let far_dispatchers = dispatchers * 2 / 3;
    let links = near + far_dispatchers;
    links as f64 / heartbeat_period(links, !DEPENDS).as_secs_f64()
}

#[test]
fn a_few_hosts_all_keep_links() {
    // All hosts keep links in fleets of up to 12.
    assert!(FAR.needs_link(9));
    assert!(!FAR.needs_link(42));
}

#[test]
fn hosts_that_depend_on_each_other_keep_links_in_fleets_of_any_size() {
    let relations = [
        Relation { same_data_centre: true, ..FAR },
        Relation { dispatches: true, ..FAR },
        Relation { has_submitted_jobs: true, ..FAR },
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

        // Up to 100 links the rate is at most 100 a second; beyond that, at the maximum period of
        // 1 s, it equals the number of links, which is 117 in the largest of these fleets.
        assert!(heartbeats <= 120.0, "{hosts} hosts: {heartbeats} heartbeats a second");
    }
}

#[test]
fn a_host_that_others_depend_on_is_considered_gone_within_350_ms() {
    for links in [1, 41, 299] {
        assert_eq!(heartbeat_period(links, DEPENDS), FAST_HEARTBEAT_PERIOD);
    }
    assert!(heartbeat_timeout(FAST_HEARTBEAT_PERIOD) <= Duration::from_millis(350));
}

#[test]
fn a_host_that_nobody_depends_on_is_considered_gone_within_seconds() {
    for links in [1, 41, 299, 2_000] {
        assert!(
            heartbeat_timeout(heartbeat_period(links, !DEPENDS)) <= Duration::from_millis(3_500)
        );
    }
}
