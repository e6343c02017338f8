//! Compares variants of the dispatcher's decisions side by side:
//! `cargo run --release --example experiment -- --load 1.3 --seeds 5`.

use argh::FromArgs;
use heathertrack::pool::{Options, order, placement};
use heathertrack_model::{Fault, Plan, Served, Trouble, run};
use std::time::Duration;

/// Plays the same callers against variants of the dispatcher's decisions.
#[derive(FromArgs)]
struct Arguments {
    /// load against that of the users' sheet
    #[argh(option, default = "1.0")]
    load: f64,
    /// seeds that are played for each variant
    #[argh(option, default = "3")]
    seeds: u64,
    /// share of the upstreams that are slow from the second second on
    #[argh(option, default = "0.0")]
    slow: f64,
}

fn variants() -> Vec<(&'static str, Options)> {
    let usual = Options::default;
    vec![
        ("as it is", usual()),
        ("order: wanted", Options { order: order::Policy::Wanted, ..usual() }),
        ("order: arrival", Options { order: order::Policy::Arrival, ..usual() }),
        ("placement: fastest", Options { placement: placement::Policy::Fastest, ..usual() }),
        ("placement: best fit", Options { placement: placement::Policy::BestFit, ..usual() }),
        ("wait share 0.12", Options { wait_share: 0.12, ..usual() }),
        ("wait share 0.5", Options { wait_share: 0.5, ..usual() }),
        ("wait share 3", Options { wait_share: 3.0, ..usual() }),
    ]
}

fn main() {
    let arguments: Arguments = argh::from_env();
    println!("load {}, {} seeds, slow {}", arguments.load, arguments.seeds, arguments.slow);
    println!(
        "{:<22}{:>8}{:>8}{:>8}{:>8}{:>9}",
        "variant", "worth", "in time", "late", "refused", "failed"
    );
    for (name, options) in variants() {
        let mut total = Served::default();
        let mut classes: Vec<(&str, Served)> = Vec::new();
        for seed in 0..arguments.seeds {
            let plan = Plan::virumaa(seed, arguments.load);
            let slow = (plan.site.upstreams() as f64 * arguments.slow) as usize;
            let fault = |upstream| Fault {
                at: Duration::from_secs(2),
                trouble: Trouble::Slow {
                    upstream: upstream * 3 + 1,
                    factor: 5.0,
                    span: plan.length,
                },
            };
            let faults = (0..slow).map(fault).collect();
            let verdict = run(&Plan { options: options.clone(), faults, ..plan });
            total.add(&verdict.total());
            for (class, served) in verdict.served {
                match classes.iter_mut().find(|(name, _)| *name == class) {
                    Some((_, sum)) => sum.add(&served),
                    None => classes.push((class, served)),
                }
            }
        }
        let asked = f64::from(total.asked.max(1));
        let share = |count: u32| f64::from(count) / asked;
        print!(
            "{name:<22}{:>8.3}{:>8.3}{:>8.3}{:>8.3}{:>9.3}",
            total.worth(),
            share(total.in_time),
            share(total.late),
            share(total.refused),
            share(total.failed)
        );
        for (class, served) in classes {
            print!("  {class} {:.3}", served.worth());
        }
        println!();
    }
}
