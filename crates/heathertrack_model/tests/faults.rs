//! Hosts among drawn faults: no task runs twice at once, no refused job runs, every caller is
//! answered. More seeds: `HEATHERTRACK_SEEDS=500 cargo test --release -p heathertrack_model`.

use heathertrack::pool::Options;
use heathertrack_model::{Broken, Fault, Plan, Site, Trouble, run};
use std::time::Duration;

/// Seeds that CI plays.
const SEEDS: u64 = 12;

fn seeds() -> u64 {
    std::env::var("HEATHERTRACK_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

#[test]
fn promises_hold_under_drawn_faults() {
    for seed in 0..seeds() {
        let plan = Plan::small(seed).troubled(1 + seed as usize % 6);

        let verdict = run(&plan);

        assert!(
            verdict.broken.is_empty(),
            "seed {seed}: {:?}\n{:#?}",
            verdict.broken.iter().take(4).collect::<Vec<_>>(),
            plan.faults
        );
    }
}

/// Seeds that CI plays of the larger fleet, whose hosts don't all have links to each other.
const FLEET_SEEDS: u64 = 4;

/// Five hosts in each of three data centres, with more upstreams than every host follows.
fn fleet(seed: u64) -> Plan {
    let plan = Plan::small(seed);
    Plan { site: Site { hosts_each: 5, upstreams_each: 36, ..plan.site.clone() }, ..plan }
}

#[test]
fn promises_hold_in_a_fleet_without_links_between_all_hosts() {
    for seed in 0..seeds().div_ceil(SEEDS) * FLEET_SEEDS {
        let plan = fleet(seed).troubled(1 + seed as usize % 6);

        let verdict = run(&plan);

        assert!(
            verdict.broken.is_empty(),
            "seed {seed}: {:?}\n{:#?}",
            verdict.broken.iter().take(4).collect::<Vec<_>>(),
            plan.faults
        );
    }
}

#[test]
fn a_seed_repeats() {
    let plan = Plan::small(3).troubled(4);

    let (first, second) = (run(&plan), run(&plan));

    assert_eq!(first.served, second.served);
    assert_eq!(first.runs, second.runs);
}

/// Seeds among which a missing mechanism has to show.
const TRIALS: u64 = 12;

fn breaks(options: &Options, troubles: &[Fault]) -> bool {
    (0..TRIALS).any(|seed| {
        let faults = troubles.to_vec();
        let verdict = run(&Plan { options: options.clone(), faults, ..Plan::small(seed) });
        verdict.broken.iter().any(|broken| matches!(broken, Broken::Twice { .. }))
    })
}

#[test]
fn starting_elsewhere_without_a_stop_is_noticed() {
    let lost = Trouble::LostAnswers { share: 0.3, span: Duration::from_secs(5) };
    let faults = [Fault { at: Duration::from_secs(1), trouble: lost }];
    let options = Options { stops_unanswered: false, ..Options::default() };

    assert!(breaks(&options, &faults));
    assert!(!breaks(&Options::default(), &faults));
}

#[test]
fn keeping_the_runs_of_a_lost_host_is_noticed() {
    let kill = |host, at| Fault {
        at: Duration::from_millis(at),
        trouble: Trouble::Kill { host, down: Duration::from_secs(1) },
    };
    let faults: Vec<Fault> = (0..6).map(|host| kill(host, 1_000 + 1_100 * host as u64)).collect();
    let options = Options { abandons: false, ..Options::default() };

    assert!(breaks(&options, &faults));
    assert!(!breaks(&Options::default(), &faults));
}

#[test]
fn refused_connections_are_no_proof_that_runs_are_over() {
    let reset = |host, at| Fault {
        at: Duration::from_millis(at),
        trouble: Trouble::ResetUpstreams { host, share: 1.0, span: Duration::from_millis(600) },
    };
    let faults: Vec<Fault> = (0..6).map(|host| reset(host, 800 + 1_000 * host as u64)).collect();

    assert!(!breaks(&Options::default(), &faults));
}
