//! Upstreams that pass from host to host as records expire, beside single events: a path or a link that
//! is lost, a host that is held up, a view of the store that is behind, an order that is late.

use heathertrack_model::{Class, Fault, FaultKind, Load, Plan, Site, Verdict, overlaps, simulate};
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
/// `broken_before` are seeds that showed a fault.
fn check(records: usize, others: usize, broken_before: &[u64]) {
    let mut broken = Vec::new();
    for seed in seeds().chain(broken_before.iter().copied()) {
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
    check(/* records: */ 5, /* others: */ 0, &[28, 37, 80]);
}

#[test]
fn no_task_runs_twice_while_records_expire_beside_a_single_event() {
    check(/* records: */ 5, /* others: */ 1, &[]);
}

#[test]
fn no_task_runs_twice_while_records_expire_beside_several_events() {
    check(/* records: */ 5, /* others: */ 4, &[216]);
}

/// Host of the first data centre that owns all upstreams there while one record is missing.
const OWNER: usize = 0;
/// The other host there, whose runs from before are on the owner's rosters.
const FOLLOWER: usize = 1;
/// Time at which the record of upstream 0 is lost, in milliseconds.
const LOSS_MS: u64 = 1_500;

/// Checks that no task has two runs at once under these faults, for each seed.
/// `broken_before` are seeds that showed the fault.
fn check_order(broken_before: &[u64], faults: impl Fn(u64) -> Vec<(u64, FaultKind)>) {
    let mut broken = Vec::new();
    for seed in seeds().chain(broken_before.iter().copied()) {
        let mut plan = handovers(seed, /* records: */ 1, /* others: */ 0);
        let to_fault = |(at, kind)| Fault { at: Duration::from_millis(at), kind };
        plan.faults = faults(seed).into_iter().map(to_fault).collect();

        let Verdict { violations, spans, .. } = simulate(&plan);

        let overlaps = overlaps(&spans);
        if !violations.is_empty() || !overlaps.is_empty() {
            println!("seed {seed}: {violations:?} {overlaps:?}");
            broken.push(seed);
        }
    }
    assert!(broken.is_empty(), "seeds {broken:?}");
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the loss of the record of upstream 0.
fn record_loss(span_ms: u64) -> (u64, FaultKind) {
    (LOSS_MS, FaultKind::LoseRecord { upstream: 0, span: ms(span_ms) })
}

/// Returns cuts of the follower's paths to the other upstreams, in the direction that the seed gives.
fn path_losses(seed: u64, at_ms: u64, span_ms: u64) -> Vec<(u64, FaultKind)> {
    let (back, span) = (seed.is_multiple_of(2), ms(span_ms));
    let cut = |upstream| FaultKind::CutUpstream { host: FOLLOWER, upstream, back, span };
    (1..22).map(|upstream| (at_ms, cut(upstream))).collect()
}

/// Returns faults after which two hosts take themselves for the owner of an upstream: its record is back,
/// and one of them sees that seconds later. The other one loses its paths.
fn two_owners(seed: u64) -> Vec<(u64, FaultKind)> {
    let stale = FaultKind::StaleReads { host: OWNER, span: ms(5_500) };
    let faults = vec![record_loss(800), (2_200, stale)];
    [faults, path_losses(seed, 2_900 + 50 * (seed % 6), 5_000)].concat()
}

/// The host that is right gives runs up that the other one has on its rosters.
#[test]
fn a_host_that_owns_an_upstream_again_tells_its_former_owner_of_runs_that_it_gives_up() {
    check_order(&[17, 69, 83], two_owners);
}

#[test]
fn the_log_tells_the_build_who_renews_by_which_roster_and_which_runs_are_given_up() {
    let mut plan = handovers(/* seed: */ 9, /* records: */ 1, /* others: */ 0);
    let to_fault = |(at, kind)| Fault { at: ms(at), kind };
    plan.faults = two_owners(plan.seed).into_iter().map(to_fault).collect();

    let log = simulate(&plan).log;

    let has_line = |host: &str, parts: &[&str]| {
        let host = format!("\"host\":\"{host}\"");
        log.iter().any(|line| line.contains(&host) && parts.iter().all(|part| line.contains(part)))
    };
    assert!(has_line("h0", &["\"started\"", "\"commit\"", "\"sources\""]));
    assert!(has_line("h1", &["\"rosters_sent\"", "\"peer\":\"h0\"", "\"changed\":false"]));
    assert!(has_line("h0", &["\"rosters_received\"", "\"peer\":\"h1\""]));
    assert!(has_line("h0", &["\"renewal_changed\"", "own runs and rosters", "[\"h1\","]));
    assert!(has_line("h1", &["\"run_left_to_expiry\"", "\"others_may_renew\":true"]));
    assert!(has_line("h1", &["\"rosters_sent\"", "\"peer\":\"h0\"", "\"changed\":true"]));
    assert!(has_line("h0", &["\"renewal_changed\"", "none beside strays"]));
}

/// Hosts end their links to one that says nothing for 350 ms. A host that is held up for longer, and
/// not for as long as a suspension, renewed by rosters that had ended.
#[test]
fn an_owner_that_is_held_up_renews_no_run_that_was_given_up_meanwhile() {
    check_order(&[], |seed| {
        let leaving = FaultKind::Leaving { share: 1.0, span: ms(3_000) };
        let held_up = FaultKind::Freeze { host: OWNER, span: ms(580) };
        let faults = vec![(0, leaving), record_loss(6_000), (2_420 + 30 * (seed % 12), held_up)];
        [faults, path_losses(seed, 2_400, 5_000)].concat()
    });
}

/// A host learns a second later than another one that an upstream without runs has passed to that one,
/// and starts a run there. This renews the lease of runs that the new owner no longer reaches.
#[test]
fn a_former_owner_that_starts_a_run_late_keeps_no_run_alive_that_is_taken_for_over() {
    check_order(&[32, 41, 65], |seed| {
        let stale = FaultKind::StaleReads { host: OWNER, span: ms(1_100) };
        let faults = vec![record_loss(800), (2_200, stale)];
        [faults, path_losses(seed, 2_450 + 50 * (seed % 12), 3_000)].concat()
    });
}
