//! Measures the dispatcher's policy over real sockets against baselines with the same seed and
//! load. The entry hosts run their real code; the upstreams are stand-ins of different speeds whose
//! tasks take time but no processor.

mod arguments;
mod bench;
mod child_process;
mod fault;
mod figures;
mod installation;
mod latency;
mod messages;
mod setup;
mod workload;

use arguments::Arguments;
use bench::Bench;
use figures::{Figures, Report};
use futures::future::join_all;
use heathertrackd::BaselinePolicy;

/// Policies to measure: `chosen`, the one that entry hosts use, and the baselines to compare it
/// with.
const VARIANTS: [(&str, Option<BaselinePolicy>); 4] = [
    ("chosen", None),
    ("random_fifo", Some(BaselinePolicy::RandomFifo)),
    ("central", Some(BaselinePolicy::Central)),
    ("power_of_two", Some(BaselinePolicy::PowerOfTwo)),
];

/// Name that measures, instead of a policy, only the latency that one host adds to a request.
const LATENCY: &str = "latency";

#[tokio::main]
async fn main() {
    let arguments: Arguments = argh::from_env();
    let runs = match arguments.variant.as_deref() {
        None => measure_all(&arguments).await,
        Some(name) => measure_one(&arguments, name).await,
    };
    if !arguments.json {
        runs.iter().for_each(|figures| println!("{figures}"));
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

/// Measures every policy, two at a time, because a run mostly waits and uses little processor time.
async fn measure_all(arguments: &Arguments) -> Vec<Figures> {
    let mut runs = Vec::new();
    for pair in VARIANTS.chunks(2) {
        let runs_of_pair = pair.iter().map(|(name, _)| child_process::run(arguments, name));
        runs.extend(join_all(runs_of_pair).await.into_iter().flatten());
    }
    runs
}

/// Measures one policy in this process. Returns no figures if no policy has this name.
async fn measure_one(arguments: &Arguments, name: &str) -> Vec<Figures> {
    let Some((name, baseline)) = VARIANTS.iter().find(|(known, _)| *known == name) else {
        return Vec::new();
    };
    let loads = arguments.load.map_or_else(|| vec![0.7, 0.9], |load| vec![load]);
    let mut runs = Vec::new();
    let bench = Bench::start(arguments, *baseline).await;
    for load in loads {
        runs.push(bench.run(name, load).await);
    }
    bench.stop().await;
    runs
}
