//! Links between hosts, and the heartbeat rate of a host in a large fleet.

use heathertrack::membership::links::{BRISK, Bond, period, silence};
use std::time::Duration;

const FAR: Bond = Bond { near: false, dispatches: false, jobs: false, seed: false };

/// Heartbeats a second sent by a host without upstreams, in a fleet of three data centres.
fn heartbeats_per_s(hosts: usize, dispatchers: usize) -> f64 {
    let near = hosts / 3 - 1;
    let far_dispatchers = dispatchers * 2 / 3;
    let links = near + far_dispatchers;
    links as f64 / period(links, false).as_secs_f64()
}

#[test]
fn a_few_hosts_all_keep_links() {
    assert!(FAR.is_wanted(9));
    assert!(!FAR.is_wanted(42));
}

#[test]
fn hosts_that_depend_on_each_other_keep_links_in_fleets_of_any_size() {
    let bonds = [
        Bond { near: true, ..FAR },
        Bond { dispatches: true, ..FAR },
        Bond { jobs: true, ..FAR },
        Bond { seed: true, ..FAR },
    ];
    for bond in bonds {
        assert!(bond.is_wanted(300));
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
        assert_eq!(period(links, true), BRISK);
    }
    assert!(silence(BRISK) <= Duration::from_millis(350));
}

#[test]
fn a_host_that_nobody_depends_on_is_considered_gone_within_seconds() {
    for links in [1, 41, 299, 2_000] {
        assert!(silence(period(links, false)) <= Duration::from_millis(3_500));
    }
}
