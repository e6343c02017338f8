//! Compares the default policies of the dispatcher with simpler ones, each under the load for which
//! it was chosen.

use heathertrack::pool::{Options, order, placement};
use heathertrack_model::{JobStats, Plan, run};

/// Seeds of each variant. The sums over all seeds are compared.
const SEEDS: u64 = 2;

fn class_stats(load: f64, options: &Options) -> Vec<(&'static str, JobStats)> {
    let mut sums: Vec<(&'static str, JobStats)> = Vec::new();
    for seed in 0..SEEDS {
        let verdict = run(&Plan { options: options.clone(), ..Plan::virumaa(seed, load) });
        assert!(verdict.violations.is_empty(), "{:?}", verdict.violations);
        for (class, stats) in verdict.classes {
            match sums.iter_mut().find(|(name, _)| *name == class) {
                Some((_, sum)) => sum.add(&stats),
                None => sums.push((class, stats)),
            }
        }
    }
    sums
}

fn earned_share(classes: &[(&'static str, JobStats)]) -> f64 {
    let mut total = JobStats::default();
    for (_, class) in classes {
        total.add(class);
    }
    total.earned_share()
}

fn class_earned_share(classes: &[(&'static str, JobStats)], class: &str) -> f64 {
    classes.iter().find(|(name, _)| *name == class).map_or(0.0, |(_, stats)| stats.earned_share())
}

/// Load relative to the users' sheet, at which more work arrives than the upstreams can do.
const OVERLOAD: f64 = 2.5;

#[test]
fn in_overload_what_would_wait_too_long_is_refused_early() {
    let usual = class_stats(OVERLOAD, &Options::default());

    let patient = class_stats(OVERLOAD, &Options { wait_share: 3.0, ..Options::default() });

    assert!(earned_share(&usual) > earned_share(&patient));
}

#[test]
fn in_overload_urgent_jobs_come_first() {
    let usual = class_stats(OVERLOAD, &Options::default());

    let arrival = Options { order: order::Policy::Arrival, ..Options::default() };
    let arrival = class_stats(OVERLOAD, &arrival);

    assert!(
        class_earned_share(&usual, "stock-check") > class_earned_share(&arrival, "stock-check")
    );
    assert!(earned_share(&usual) > earned_share(&arrival));
}

#[test]
fn long_tasks_find_fast_upstreams() {
    let usual = class_stats(0.7, &Options::default());

    let best_fit = Options { placement: placement::Policy::BestFit, ..Options::default() };
    let best_fit = class_stats(0.7, &best_fit);

    assert!(class_earned_share(&usual, "cut-plan") > class_earned_share(&best_fit, "cut-plan"));
}

#[test]
fn below_capacity_nothing_is_refused() {
    let usual = class_stats(0.7, &Options::default());

    let refused: u32 = usual.iter().map(|(_, stats)| stats.refused).sum();
    assert_eq!(refused, 0);
}
