//! Links between the hosts of a large fleet.

use heathertrack_model::{Fault, FaultKind, Load, Plan, Site, Verdict, simulate};
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of data centres.
const CENTRES: usize = 3;
/// Number of entry hosts in each data centre.
const HOSTS_EACH: usize = 14;

/// Returns the plan of a simulation of three seconds, without faults, of a large fleet of entry
/// hosts with the upstreams of Virumaa's site.
fn fleet() -> Plan {
    let plan = Plan::virumaa(1, 0.3);
    let site = Site { centres: CENTRES, hosts_each: HOSTS_EACH, ..plan.site.clone() };
    // No jobs whose tasks always fail, so that every job can be completed.
    let load = Load { poison_share: 0.0, ..plan.load.clone() };
    Plan { site, load, length: Duration::from_secs(3), ..plan }
}

/// Returns the pairs of host and peer between which a link was established.
fn links(verdict: &Verdict) -> BTreeSet<(String, String)> {
    let lines = verdict.log.iter().filter_map(|line| serde_json::from_str(line).ok());
    let found = lines.filter(|line: &serde_json::Value| line["event"] == "peer_found");
    found.map(|line| (line["host"].to_string(), line["peer"].to_string())).collect()
}

#[test]
fn hosts_of_different_data_centres_have_links_only_if_one_dispatches() {
    let verdict = simulate(&fleet());

    let hosts = CENTRES * HOSTS_EACH;
    // Each host has a link to every other host of its data centre.
    let near = hosts * (HOSTS_EACH - 1);
    // One dispatcher suffices for the 16 upstreams of a data centre, and is linked to all hosts of
    // the others. Both ends count a link.
    let dispatchers = 2 * CENTRES * (hosts - HOSTS_EACH);
    let links = links(&verdict).len();
    assert!(links > near, "{links} links, {near} within data centres");
    assert!(links <= near + dispatchers, "{links} links, {} in a full mesh", hosts * (hosts - 1));
}

#[test]
fn large_fleet_without_faults_serves_all_jobs() {
    let verdict = simulate(&fleet());

    assert!(verdict.violations.is_empty(), "{:?}", verdict.violations);
    for (class, stats) in &verdict.classes {
        assert_eq!(stats.refused + stats.failed, 0, "{class}");
    }
}

/// Returns the number of times that a link was established in a small fleet, with a fault or none.
fn established(kind: Option<FaultKind>) -> usize {
    let faults = kind.map(|kind| Fault { at: Duration::from_secs(1), kind });
    let verdict = simulate(&Plan { faults: faults.into_iter().collect(), ..Plan::small(1) });
    assert!(verdict.violations.is_empty(), "{:?}", verdict.violations);
    verdict.log.iter().filter(|line| line.contains(r#""event":"peer_found""#)).count()
}

#[test]
fn links_are_established_again_after_resets() {
    let span = Duration::from_millis(500);

    let none = established(None);
    let one = established(Some(FaultKind::ResetLinks { host: 0, share: 0.2, span }));
    let all = established(Some(FaultKind::ResetAllLinks { span }));

    // Both ends count a link.
    assert_eq!(one, none + 2);
    let hosts = Plan::small(1).site.hosts();
    assert_eq!(all, none + hosts * (hosts - 1));
}
