//! Measures the dispatcher's policy over real sockets, beside baselines with the same seed and
//! load: entry hosts' own code, stand-in upstreams of unequal speed whose tasks take time and no
//! processor.

mod arguments;
mod bench;
mod fault;
mod figures;
mod latency;
mod messages;
mod setup;
mod workload;

use arguments::Arguments;
use bench::Bench;
use figures::{Figures, Report};
use heathertrackd::Trial;

/// The policies that are measured: the chosen one, and those to hold it against.
const VARIANTS: [(&str, Option<Trial>); 4] = [
    ("chosen", None),
    ("random_fifo", Some(Trial::RandomFifo)),
    ("power_of_two", Some(Trial::PowerOfTwo)),
    ("central", Some(Trial::Central)),
];

/// In place of a policy: only what one host adds to a request.
const LATENCY: &str = "latency";

#[tokio::main]
async fn main() {
    let arguments: Arguments = argh::from_env();
    let loads = arguments.load.map_or_else(|| vec![0.7, 0.9], |load| vec![load]);
    let mut runs: Vec<Figures> = Vec::new();
    for (name, trial) in VARIANTS {
        if arguments.variant.as_ref().is_some_and(|wanted| wanted != name) {
            continue;
        }
        let bench = Bench::start(&arguments, trial).await;
        for load in &loads {
            let figures = bench.run(name, *load).await;
            if !arguments.json {
                println!("{figures}");
            }
            runs.push(figures);
        }
        bench.stop().await;
    }
    let latency = match arguments.variant.as_deref() {
        None | Some(LATENCY) => Some(latency::measure().await),
        Some(_) => None,
    };
    let report = Report::new(&arguments, runs, latency);
    if arguments.json {
        println!("{}", serde_json::to_string(&report).expect("a report is always JSON"));
    } else {
        report.latency.iter().for_each(|latency| println!("{latency}"));
    }
}
