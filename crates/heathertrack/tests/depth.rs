//! Scope of the store that hosts follow.

use heathertrack::membership::depth::{Depth, depth, reading_period};

/// Renewal period of an upstream's record, in seconds.
const RENEWAL_S: f64 = 1.5;

/// Total records a second that all hosts of a fleet read.
fn records_per_s(hosts: usize, dispatchers: usize, upstreams: usize) -> f64 {
    let renewed = upstreams as f64 / RENEWAL_S;
    let all = match depth(upstreams, false) {
        Depth::All => hosts,
        Depth::Configuration => dispatchers,
    };
    let read = upstreams as f64 / reading_period(upstreams).as_secs_f64();
    all as f64 * renewed + (hosts - all) as f64 * read
}

#[test]
fn a_few_upstreams_are_followed_by_every_host() {
    assert_eq!(depth(48, false), Depth::All);
}

#[test]
fn dispatchers_follow_all() {
    assert_eq!(depth(3_000, true), Depth::All);
}

#[test]
fn the_hosts_of_a_large_fleet_read_an_eighth_of_what_all_would() {
    let read = records_per_s(300, 25, 3_000);

    let all = 300.0 * 3_000.0 / RENEWAL_S;
    assert!(read <= all / 8.0, "{read} of {all}");
}
