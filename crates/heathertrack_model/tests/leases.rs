//! Leases of upstreams on which runs of several hosts are: planned stops, kills in the middle of
//! one, owners that are killed, and hosts without links. Each check is repeated without the mechanism,
//! and has to find the fault then.

use heathertrack::pool::Options;
use heathertrack_model::{Class, Fault, FaultKind, Plan, Site, Violation, simulate};
use std::time::Duration;

/// Number of seeds that CI runs.
const SEEDS: u64 = 12;
/// Number of seeds of which at least one has to show the fault without the mechanism.
const MECHANISM_SEEDS: u64 = 24;
/// Hosts of one data centre of a small site.
const NEIGHBOURS: [usize; 2] = [0, 1];

fn seeds() -> u64 {
    std::env::var("HEATHERTRACK_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the plan of a small site with tasks that last several leases beside short ones.
fn long_tasks(seed: u64) -> Plan {
    let mut plan = Plan::small(seed);
    let long = Class { work: ms(2_500), per_second: 12.0, ..plan.load.classes[1].clone() };
    plan.load.classes = vec![plan.load.classes[2].clone(), long];
    plan
}

/// Returns whether two runs of a task overlap under the faults of a seed.
fn has_concurrent_runs(seed: u64, options: &Options, faults: fn(u64) -> Vec<Fault>) -> bool {
    let plan = Plan { options: options.clone(), faults: faults(seed), ..long_tasks(seed) };
    let is_concurrent =
        |violation: &Violation| matches!(violation, Violation::ConcurrentRuns { .. });
    simulate(&plan).violations.iter().any(is_concurrent)
}

/// Checks that no runs of a task overlap under these faults, and that they do if leases are renewed
/// whatever an upstream lists.
fn check(faults: fn(u64) -> Vec<Fault>) {
    let without = Options { withhold_from_strays: false, ..Options::default() };
    let found = (0..MECHANISM_SEEDS).find(|seed| has_concurrent_runs(*seed, &without, faults));
    assert!(found.is_some(), "the check doesn't find the fault");
    for seed in 0..seeds() {
        let plan = Plan { faults: faults(seed), ..long_tasks(seed) };

        let violations = simulate(&plan).violations;

        assert!(violations.is_empty(), "seed {seed}: {violations:?}\n{:#?}", plan.faults);
    }
}

/// Returns faults of both hosts of a data centre, one after the other.
fn in_turn(faults: impl Fn(usize, usize, Duration) -> Vec<Fault>) -> Vec<Fault> {
    let [one, other] = NEIGHBOURS;
    let first = faults(one, other, ms(800));
    first.into_iter().chain(faults(other, one, ms(5_000))).collect()
}

/// Returns kills of hosts while they stop.
fn kills_while_stopping(seed: u64) -> Vec<Fault> {
    in_turn(|host, _, at| {
        let after = ms(200 + 150 * (seed % 8));
        let kind = FaultKind::KillWhileStopping { host, after, down: ms(500) };
        vec![Fault { at, kind }]
    })
}

#[test]
fn runs_of_a_host_killed_while_it_stops_are_not_kept_alive() {
    check(kills_while_stopping);
}

/// The check of leases sees the renewal itself, whether or not a second run follows.
#[test]
fn a_renewal_for_a_lost_host_is_reported() {
    let options = Options { withhold_from_strays: false, ..Options::default() };
    let is_reported = |seed: u64| {
        let faults = kills_while_stopping(seed);
        let verdict = simulate(&Plan { options: options.clone(), faults, ..long_tasks(seed) });
        let is_renewal =
            |violation: &Violation| matches!(violation, Violation::RenewedWithoutHost { .. });
        verdict.violations.iter().any(is_renewal)
    };

    assert!((0..MECHANISM_SEEDS).any(is_reported));
}

#[test]
fn runs_of_an_owner_killed_while_another_host_stops_are_not_kept_alive() {
    check(|seed| {
        in_turn(|leaving, next, at| {
            let kill = FaultKind::Kill { host: next, down: ms(500) };
            vec![
                Fault { at, kind: FaultKind::Stop { host: leaving } },
                Fault { at: at + ms(100 + 130 * (seed % 12)), kind: kill },
            ]
        })
    });
}

#[test]
fn an_owner_without_answers_starts_no_run_again_that_a_leaving_host_renews() {
    check(|seed| {
        in_turn(|leaving, next, at| {
            let cut = FaultKind::CutUpstreams {
                host: next,
                share: 0.2 + 0.1 * (seed % 4) as f64,
                back: seed % 2 == 0,
                span: ms(2_500),
            };
            vec![
                Fault { at, kind: FaultKind::Stop { host: leaving } },
                Fault { at: at + ms(200 + 100 * (seed % 8)), kind: cut },
            ]
        })
    });
}

#[test]
fn runs_of_a_host_killed_without_links_are_not_kept_alive() {
    check(|seed| {
        in_turn(|host, _, at| {
            let kill = FaultKind::Kill { host, down: ms(500) };
            vec![
                Fault { at, kind: FaultKind::IsolateHost { host, span: ms(4_000) } },
                Fault { at: at + ms(1_200 + 200 * (seed % 8)), kind: kill },
            ]
        })
    });
}

/// The host that is leaving took its runs there for over, while the next owner renewed their leases
/// (review case 6).
#[test]
fn runs_of_a_leaving_host_on_upstreams_without_a_record_are_not_started_again() {
    for seed in 0..seeds().max(MECHANISM_SEEDS) {
        let upstreams = 0..Plan::small(seed).site.upstreams_each;
        let faults = in_turn(|leaving, _, at| {
            let lost_at = at + ms(300 + 100 * (seed % 8));
            let lose = |upstream| FaultKind::LoseRecord { upstream, span: ms(2_500) };
            let lost =
                upstreams.clone().map(|upstream| Fault { at: lost_at, kind: lose(upstream) });
            [Fault { at, kind: FaultKind::Stop { host: leaving } }]
                .into_iter()
                .chain(lost)
                .collect()
        });

        let mut plan = Plan { faults, ..long_tasks(seed) };
        // The next owner soon has runs beside those of the leaving host.
        let long = &mut plan.load.classes[1];
        *long = Class { work: ms(4_000), cpu: 1_000.0, per_second: 60.0, ..long.clone() };

        let violations = simulate(&plan).violations;

        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}

/// A host that has released upstreams and doesn't reach them any more tells the owner that it gives the
/// runs there up, also while nobody is assigned the upstreams, for want of records.
#[test]
fn runs_that_are_given_up_on_upstreams_without_a_record_are_not_renewed() {
    for seed in 0..seeds() {
        // Two hosts dispatch to the 22 upstreams of a data centre. The first one suffices for 21.
        let site = Site { upstreams_each: 22, cpu_shares: vec![0.09], ..Plan::small(seed).site };
        let cut = FaultKind::CutUpstreams { host: 1, share: 1.0, back: false, span: ms(6_500) };
        let lose = |upstream| FaultKind::LoseRecord { upstream, span: ms(6_000) };
        let faults = (0..site.upstreams_each)
            // The first loss changes the number of dispatchers, and the others concern released upstreams.
            .map(|upstream| (if upstream == 0 { 1_500 } else { 2_300 }, lose(upstream)))
            .chain([(2_200, cut)])
            .map(|(at, kind)| Fault { at: ms(at), kind })
            .collect();
        let mut plan = Plan { site, faults, length: ms(9_000), ..long_tasks(seed) };
        let long = &mut plan.load.classes[1];
        *long = Class { work: ms(8_000), per_second: 60.0, ..long.clone() };

        let violations = simulate(&plan).violations;

        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}

#[test]
fn late_orders_during_planned_stops_cause_no_concurrent_runs() {
    for seed in 0..seeds().max(MECHANISM_SEEDS) {
        let faults = in_turn(|leaving, _, at| {
            let late = FaultKind::LateOrders { share: 0.4, span: ms(1_400) };
            vec![
                Fault { at, kind: FaultKind::Stop { host: leaving } },
                Fault { at: at + ms(100 * (seed % 6)), kind: late },
            ]
        });

        let violations = simulate(&Plan { faults, ..long_tasks(seed) }).violations;

        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}

/// The leases of these orders end on the clock of the former process, far ahead of the new one.
#[test]
fn late_orders_for_a_former_process_keep_no_lost_run_alive() {
    for seed in 0..seeds() {
        let late = FaultKind::LateOrders { share: 0.3, span: ms(2_000) };
        let restart = |upstream| FaultKind::Restart { upstream, down: ms(300), delay: ms(0) };
        let kills = [4_300, 6_300].map(|at| (at, FaultKind::KillAll { down: ms(400) }));
        let restarts = (0..12).map(|upstream| (2_300, restart(upstream)));
        let all = [(200, late)].into_iter().chain(restarts).chain(kills);
        let faults = all.map(|(at, kind)| Fault { at: ms(at), kind }).collect();

        let violations = simulate(&Plan { faults, ..long_tasks(seed) }).violations;

        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}
