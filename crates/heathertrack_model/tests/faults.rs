//! Hosts among drawn faults: no task runs twice at once, no refused job runs, every caller is
//! answered. More seeds: `HEATHERTRACK_SEEDS=500 cargo test --release -p heathertrack_model`.

use heathertrack_model::{Plan, run};

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

#[test]
fn a_seed_repeats() {
    let plan = Plan::small(3).troubled(4);

    let (first, second) = (run(&plan), run(&plan));

    assert_eq!(first.served, second.served);
    assert_eq!(first.runs, second.runs);
}
