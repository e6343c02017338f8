//! Simulations with random faults: runs of a task never overlap, no refused job runs, every caller
//! gets an answer. To run more seeds:
//! `HEATHERTRACK_SEEDS=500 cargo test --release -p heathertrack_model`.

use heathertrack::pool::Options;
use heathertrack_model::{Class, Fault, FaultKind, Load, Plan, Site, Violation, simulate};
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of seeds that CI runs.
const SEEDS: u64 = 12;

fn seeds() -> u64 {
    std::env::var("HEATHERTRACK_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// Simulates each plan with one to six faults drawn from its seed, and checks that there are no
/// violations.
fn check(plans: impl Iterator<Item = Plan>) {
    for plan in plans {
        let count = 1 + plan.seed as usize % 6;
        let plan = plan.with_drawn_faults(count);

        let verdict = simulate(&plan);

        assert!(
            verdict.violations.is_empty(),
            "seed {}: {:?}\n{:#?}",
            plan.seed,
            verdict.violations.iter().take(4).collect::<Vec<_>>(),
            plan.faults
        );
    }
}

#[test]
fn no_violations_under_drawn_faults() {
    check((0..seeds()).map(Plan::small));
}

/// Adds planned stops of all hosts in turn to the faults of a plan. Half of the tasks last several
/// leases, so that they outlive a stop and what goes wrong in it.
fn beside_planned_stops(mut plan: Plan) -> Plan {
    let long = Class { work: Duration::from_millis(2_500), ..plan.load.classes[1].clone() };
    plan.load.classes.push(Class { per_second: 8.0, ..long });
    let gap = 700 + 150 * (plan.seed % 7);
    plan.faults.extend(one_by_one(800, gap, |host| FaultKind::Stop { host }));
    plan
}

/// Returns the number of faults of a day with many of them, four to eight.
fn many(seed: u64) -> usize {
    4 + seed as usize % 5
}

#[test]
fn no_violations_on_days_of_planned_stops_beside_many_faults() {
    for seed in 0..seeds() {
        let plan = beside_planned_stops(Plan::small(seed).with_drawn_faults(many(seed)));

        let violations = simulate(&plan).violations;

        assert!(violations.is_empty(), "seed {seed}: {violations:?}\n{:#?}", plan.faults);
    }
}

/// Links between hosts are reset, and upstreams restart or are replaced at short notice.
#[test]
fn no_violations_on_days_of_planned_stops_beside_resets_and_replaced_upstreams() {
    for seed in 0..seeds() {
        let plan = beside_planned_stops(Plan::small(seed).with_dense_faults(many(seed)));

        let violations = simulate(&plan).violations;

        assert!(violations.is_empty(), "seed {seed}: {violations:?}\n{:#?}", plan.faults);
    }
}

/// Number of seeds that CI runs of the larger fleet, whose hosts are not all linked to each other.
const FLEET_SEEDS: u64 = 4;

/// Returns the plan of a fleet of five hosts in each of three data centres, with 108 upstreams:
/// above 100, only dispatchers follow the changes of the upstreams' records.
fn fleet(seed: u64) -> Plan {
    let plan = Plan::small(seed);
    Plan { site: Site { hosts_each: 5, upstreams_each: 36, ..plan.site.clone() }, ..plan }
}

#[test]
fn no_violations_in_a_fleet_without_links_between_all_hosts() {
    check((0..seeds().div_ceil(SEEDS) * FLEET_SEEDS).map(fleet));
}

/// Returns the plan of a fleet of hosts of different sizes that start again within moments of each
/// other, so that upstreams are handed over to larger hosts while jobs run.
fn common_restart(seed: u64) -> Plan {
    let plan = Plan::small(seed);
    let cpu_shares = vec![0.09, 0.3, 0.5];
    Plan { site: Site { hosts_each: 3, cpu_shares, ..plan.site.clone() }, ..plan }
}

#[test]
fn no_violations_when_hosts_of_different_sizes_restart_together() {
    for seed in 0..seeds() {
        let mut plan = common_restart(seed).with_drawn_faults(2);
        let down = Duration::from_millis(300 + 100 * (seed % 8));
        let at = Duration::from_millis(1_500 + 400 * (seed % 5));
        plan.faults.push(Fault { at, kind: FaultKind::KillAll { down } });

        let verdict = simulate(&plan);

        let violations = &verdict.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}\n{:#?}", plan.faults);
    }
}

#[test]
fn same_seed_gives_the_same_run() {
    let plan = Plan::small(3).with_drawn_faults(4);

    let (first, second) = (simulate(&plan), simulate(&plan));

    assert_eq!(first.classes, second.classes);
    assert_eq!(first.runs, second.runs);
}

/// Number of seeds, of which at least one has to show a violation when a mechanism is disabled, and
/// none otherwise.
const MECHANISM_SEEDS: u64 = 12;

/// Returns whether two runs of a task overlap for any of the seeds.
fn causes_concurrent_runs(options: &Options, faults: &[Fault]) -> bool {
    (0..MECHANISM_SEEDS).any(|seed| {
        let faults = faults.to_vec();
        let verdict = simulate(&Plan { options: options.clone(), faults, ..Plan::small(seed) });
        verdict
            .violations
            .iter()
            .any(|violation| matches!(violation, Violation::ConcurrentRuns { .. }))
    })
}

/// Returns faults of one host after another: the first after `first_ms`, the next every `gap_ms`.
fn one_by_one(first_ms: u64, gap_ms: u64, kind: impl Fn(usize) -> FaultKind) -> Vec<Fault> {
    let at = |host: usize| Duration::from_millis(first_ms + gap_ms * host as u64);
    // The hosts of a small site.
    (0..6).map(|host| Fault { at: at(host), kind: kind(host) }).collect()
}

#[test]
fn restart_without_a_stop_causes_concurrent_runs() {
    let lost = FaultKind::LostAnswers { share: 0.3, span: Duration::from_secs(5) };
    let faults = [Fault { at: Duration::from_secs(1), kind: lost }];
    let options = Options { stop_unanswered_starts: false, ..Options::default() };

    assert!(causes_concurrent_runs(&options, &faults));
    assert!(!causes_concurrent_runs(&Options::default(), &faults));
}

/// What overlaps at the end has been seen when the second run started, and the other way round.
#[test]
fn a_second_run_is_reported_when_it_starts() {
    let kind = FaultKind::LostAnswers { share: 0.3, span: Duration::from_secs(5) };
    let faults = vec![Fault { at: Duration::from_secs(1), kind }];
    let options = Options { stop_unanswered_starts: false, ..Options::default() };
    let mut reported = BTreeSet::new();
    let mut overlapping = BTreeSet::new();
    for seed in 0..MECHANISM_SEEDS {
        let plan = Plan { options: options.clone(), faults: faults.clone(), ..Plan::small(seed) };

        for violation in simulate(&plan).violations {
            match violation {
                Violation::StartedWhileRunning { task, .. } => reported.insert((seed, task)),
                Violation::ConcurrentRuns { task, .. } => overlapping.insert((seed, task)),
                _ => false,
            };
        }
    }

    assert!(!reported.is_empty());
    assert_eq!(reported, overlapping);
}

#[test]
fn keeping_runs_of_a_lost_host_causes_concurrent_runs() {
    let faults =
        one_by_one(1_000, 1_100, |host| FaultKind::Kill { host, down: Duration::from_secs(1) });
    let options = Options { end_orphaned_jobs: false, ..Options::default() };

    assert!(causes_concurrent_runs(&options, &faults));
    assert!(!causes_concurrent_runs(&Options::default(), &faults));
}

#[test]
fn refused_connections_do_not_cause_concurrent_runs() {
    let faults = one_by_one(800, 1_000, |host| FaultKind::ResetUpstreams {
        host,
        share: 1.0,
        span: Duration::from_millis(600),
    });

    assert!(!causes_concurrent_runs(&Options::default(), &faults));
}

/// Number of upstreams under whose crashes the users let a job be given up.
const MAX_LOSSES: usize = 2;

/// Returns the plan of a small site on which a tenth of the jobs has a task that crashes its
/// upstreams.
fn deadly(seed: u64) -> Plan {
    let kind = FaultKind::Deadly { share: 0.1, span: Duration::from_secs(4) };
    let faults = vec![Fault { at: Duration::from_secs(1), kind }];
    Plan { faults, ..Plan::small(seed) }
}

#[test]
fn a_deadly_task_does_not_crash_upstream_after_upstream() {
    for seed in 0..seeds() {
        let verdict = simulate(&deadly(seed));

        assert!(verdict.violations.is_empty(), "seed {seed}: {:?}", verdict.violations);
        assert!(verdict.most_losses <= MAX_LOSSES, "seed {seed}: {}", verdict.most_losses);
    }
}

/// A caller whose answer is missing submits its job again to another host.
#[test]
fn a_deadly_task_is_not_started_afresh_by_the_next_dispatcher() {
    for seed in 0..seeds() {
        let mut plan = deadly(seed);
        let kill = |host| FaultKind::Kill { host, down: Duration::from_secs(1) };
        plan.faults.extend(one_by_one(1_300, 700, kill));

        let verdict = simulate(&plan);

        assert!(verdict.violations.is_empty(), "seed {seed}: {:?}", verdict.violations);
    }
}

/// Returns the number of log lines of an event.
fn count_events(log: &[String], event: &str) -> usize {
    let field = format!("\"event\":\"{event}\"");
    log.iter().filter(|line| line.contains(&field)).count()
}

/// Two thirds of the upstreams crash in two groups, so that tasks of the first group are started
/// again on upstreams of the second one.
#[test]
fn common_crashes_condemn_no_task() {
    for seed in 0..seeds() {
        let plan = Plan::small(seed);
        let upstreams_each = 16;
        let site = Site { upstreams_each, ..plan.site.clone() };
        let crash = |upstream: usize| {
            let is_first = upstream.is_multiple_of(3);
            let at = Duration::from_millis(if is_first { 2_000 } else { 2_760 });
            Fault { at, kind: FaultKind::Crash { upstream, down: Duration::from_secs(2) } }
        };
        let all = 0..site.centres * upstreams_each;
        let faults = all.filter(|upstream| upstream % 3 != 2).map(crash).collect();
        let load = Load { factor: 0.6, ..plan.load.clone() };

        let verdict = simulate(&Plan { site, faults, load, ..plan });

        assert!(count_events(&verdict.log, "runs_lost") > 0, "seed {seed}: no run was lost");
        assert_eq!(count_events(&verdict.log, "task_quarantined"), 0, "seed {seed}");
        assert!(verdict.violations.is_empty(), "seed {seed}: {:?}", verdict.violations);
    }
}

/// No upstream crashes, but two processes after one another may look as if they had.
#[test]
fn resets_of_connections_to_single_upstreams_fail_no_job() {
    for seed in 0..seeds() {
        let plan = Plan::small(seed);
        let upstreams_each = 16;
        let site = Site { upstreams_each, ..plan.site.clone() };
        let count = site.centres * upstreams_each;
        let reset = |index: usize| Fault {
            at: Duration::from_millis(1_000 + 150 * index as u64),
            kind: FaultKind::ResetUpstream {
                upstream: (index * 7 + seed as usize) % count,
                span: Duration::from_secs(3),
            },
        };
        let faults = (0..40).map(reset).collect();

        let verdict = simulate(&Plan { site, faults, ..plan });

        assert!(count_events(&verdict.log, "runs_lost") > 0, "seed {seed}: no run was lost");
        assert!(verdict.violations.is_empty(), "seed {seed}: {:?}", verdict.violations);
    }
}

/// Returns whether a host notices that an upstream was gone for a second, `after` the end of a short
/// outage of the store.
fn notices_absence_after_outage(after: Duration) -> bool {
    let (outage, span) = (Duration::from_secs(1), Duration::from_millis(400));
    // The upstream is removed that long after it begins to drain, and back after the same time.
    let drains = Duration::from_secs(1);
    let faults = vec![
        Fault { at: outage, kind: FaultKind::StoreDown { span } },
        Fault {
            at: outage + span + after - drains,
            kind: FaultKind::Drain { upstream: 0, after: drains },
        },
    ];
    let length = after + Duration::from_secs(4);
    let verdict = simulate(&Plan { faults, length, ..Plan::small(1) });
    assert!(verdict.violations.is_empty(), "{:?}", verdict.violations);
    let is_notice = |line: &String| {
        line.contains(r#""upstream":"u0""#) && line.contains("record is gone from the store")
    };
    verdict.log.iter().any(is_notice)
}

/// One failed read kept each record that went missing later for 2.5 s, for the rest of a process's life.
#[test]
fn outage_of_the_store_long_ago_keeps_no_upstream_that_is_gone() {
    assert!(notices_absence_after_outage(Duration::from_secs(8)));
}

#[test]
fn outage_of_the_store_just_before_keeps_an_upstream_that_comes_back() {
    assert!(!notices_absence_after_outage(Duration::from_millis(1_000)));
}
