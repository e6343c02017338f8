//! Upstreams that pass from host to host as records expire, beside single events: a path or a link that
//! is lost, a host that is held up, a view of the store that is behind, an order that is late.

use heathertrack_model::{Class, Fault, Load, Plan, Site, Verdict, overlaps, simulate};
use std::time::Duration;

/// Number of seeds that CI runs.
const SEEDS: u64 = 12;
/// Time during which callers arrive.
const LENGTH: Duration = Duration::from_secs(8);

fn seeds() -> std::ops::Range<u64> {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("HEATHERTRACK_FIRST_SEED").unwrap_or(0);
    first..first + number("HEATHERTRACK_SEEDS").unwrap_or(SEEDS)
}

/// Returns the plan of a site of two data centres, in each of which two hosts dispatch to 22
/// upstreams; one host suffices for 21. Some tasks last for several leases.
fn handovers(seed: u64, records: usize, others: usize) -> Plan {
    let site =
        Site { centres: 2, upstreams_each: 22, cpu_shares: vec![0.09], ..Plan::small(seed).site };
    let [stock_check, cut_plan, blank_quote] = <[Class; 3]>::try_from(Load::specified().classes)
        .unwrap_or_else(|classes| panic!("{} classes", classes.len()));
    let long =
        Class { work: Duration::from_millis(4_000), mean_tasks: 2.0, cpu: 3_000.0, ..cut_plan };
    let classes = vec![
        Class { per_second: 12.0, ..long },
        Class { per_second: 30.0, cpu: 2_000.0, ..blank_quote },
        Class { per_second: 5.0, ..stock_check },
    ];
    let load = Load {
        classes,
        leaving_share: 0.3,
        reconnecting_share: 1.0,
        poison_share: 0.0,
        ..Load::specified()
    };
    let faults = Fault::draw_handovers(seed, records, others, LENGTH, &site);
    Plan { site, load, faults, length: LENGTH, ..Plan::small(seed) }
}

/// Checks that no task has two runs at once, by the violations and by the runs alone.
fn check(records: usize, others: usize) {
    let mut broken = Vec::new();
    for seed in seeds() {
        let plan = handovers(seed, records, others);

        let Verdict { violations, spans, .. } = simulate(&plan);

        let overlaps = overlaps(&spans);
        if !violations.is_empty() || !overlaps.is_empty() {
            println!("seed {seed}: {violations:?} {overlaps:?}\n{:#?}", plan.faults);
            broken.push(seed);
        }
    }
    assert!(broken.is_empty(), "seeds {broken:?}");
}

/// The host that had released an upstream took its runs there for over when the record was gone, while
/// the owner renewed their leases (review case 6).
#[test]
fn no_task_runs_twice_while_records_expire() {
    check(/* records: */ 5, /* others: */ 0);
}

#[test]
fn no_task_runs_twice_while_records_expire_beside_a_single_event() {
    check(/* records: */ 5, /* others: */ 1);
}

#[test]
fn no_task_runs_twice_while_records_expire_beside_several_events() {
    check(/* records: */ 5, /* others: */ 4);
}
