//! Compares the default policies of the dispatcher with simpler ones, each under the load for which
//! it was chosen.

use heathertrack::pool::{Options, order, placement};
use heathertrack_model::{Plan, Served, run};

/// Seeds of each variant. The sums over all seeds are compared.
const SEEDS: u64 = 2;

fn served(load: f64, options: &Options) -> Vec<(&'static str, Served)> {
    let mut sums: Vec<(&'static str, Served)> = Vec::new();
    for seed in 0..SEEDS {
        let verdict = run(&Plan { options: options.clone(), ..Plan::virumaa(seed, load) });
        assert!(verdict.broken.is_empty(), "{:?}", verdict.broken);
        for (class, served) in verdict.served {
            match sums.iter_mut().find(|(name, _)| *name == class) {
                Some((_, sum)) => sum.add(&served),
                None => sums.push((class, served)),
            }
        }
    }
    sums
}

fn worth(served: &[(&'static str, Served)]) -> f64 {
    let mut total = Served::default();
    for (_, class) in served {
        total.add(class);
    }
    total.worth()
}

fn of(served: &[(&'static str, Served)], class: &str) -> f64 {
    served.iter().find(|(name, _)| *name == class).map_or(0.0, |(_, served)| served.worth())
}

/// Load relative to the users' sheet, at which more work arrives than the upstreams can do.
const OVERLOAD: f64 = 2.5;

#[test]
fn in_overload_what_would_wait_too_long_is_refused_early() {
    let usual = served(OVERLOAD, &Options::default());

    let patient = served(OVERLOAD, &Options { wait_share: 3.0, ..Options::default() });

    assert!(worth(&usual) > worth(&patient));
}

#[test]
fn in_overload_urgent_jobs_come_first() {
    let usual = served(OVERLOAD, &Options::default());

    let arrival = Options { order: order::Policy::Arrival, ..Options::default() };
    let arrival = served(OVERLOAD, &arrival);

    assert!(of(&usual, "stock-check") > of(&arrival, "stock-check"));
    assert!(worth(&usual) > worth(&arrival));
}

#[test]
fn long_tasks_find_fast_upstreams() {
    let usual = served(0.7, &Options::default());

    let best_fit = Options { placement: placement::Policy::BestFit, ..Options::default() };
    let best_fit = served(0.7, &best_fit);

    assert!(of(&usual, "cut-plan") > of(&best_fit, "cut-plan"));
}

#[test]
fn below_capacity_nothing_is_refused() {
    let usual = served(0.7, &Options::default());

    let refused: u32 = usual.iter().map(|(_, served)| served.refused).sum();
    assert_eq!(refused, 0);
}
