//! Compares variants of the dispatcher's policies under the same load:
//! `cargo run --release -p heathertrack_model --example experiment -- --loads 0.9,1.3 --seeds 5`.
//! `--pattern FILE` runs a load pattern instead of Virumaa's site without faults. `--svg FILE`
//! plots the worth that each variant earns at each load.

mod plot;
mod table;
mod variant;

use argh::FromArgs;
use heathertrack_model::{JobStats, Pattern, PatternError, Plan, simulate};
use std::path::PathBuf;
use std::process::ExitCode;
use table::Row;
use thiserror::Error;
use variant::Variant;

/// Runs variants of the dispatcher's policies under the same load.
#[derive(FromArgs)]
struct Arguments {
    /// loads relative to that of the users' sheet or of the pattern, separated by commas
    #[argh(option, default = "Loads(vec![1.0])", from_str_fn(parse_loads))]
    loads: Loads,
    /// number of seeds for each variant
    #[argh(option, default = "3")]
    seeds: u64,
    /// path of a load pattern file
    #[argh(option)]
    pattern: Option<PathBuf>,
    /// run only variants whose names contain this
    #[argh(option, default = "String::new()")]
    only: String,
    /// path of an SVG file to which a plot of worth over load is written
    #[argh(option)]
    svg: Option<PathBuf>,
}

struct Loads(Vec<f64>);

fn parse_loads(text: &str) -> Result<Loads, String> {
    let parse =
        |part: &str| part.trim().parse::<f64>().map_err(|error| format!("load {part:?}: {error}"));
    text.split(',').map(parse).collect::<Result<_, _>>().map(Loads)
}

#[derive(Debug, Error)]
enum Error {
    #[error("failed to read the load pattern {path}: {source}")]
    Read { path: String, source: std::io::Error },
    #[error(transparent)]
    Pattern(#[from] PatternError),
    #[error("failed to write the plot: {0}")]
    Plot(String),
}

fn main() -> ExitCode {
    match experiment(&argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn experiment(arguments: &Arguments) -> Result<(), Error> {
    let pattern = arguments.pattern.as_ref().map(read_pattern).transpose()?;
    let mut rows = Vec::new();
    for load in &arguments.loads.0 {
        println!("load {load}, {} seeds", arguments.seeds);
        table::print_header();
        for variant in variant::all().into_iter().filter(|v| v.name.contains(&arguments.only)) {
            let plans = (0..arguments.seeds).map(|seed| plan_for(pattern.as_ref(), seed, *load));
            let row = run_variant(&variant, *load, plans);
            table::print_row(&row);
            rows.push(row);
        }
    }
    if let Some(path) = &arguments.svg {
        plot::draw(path, &rows).map_err(|error| Error::Plot(error.to_string()))?;
    }
    Ok(())
}

fn read_pattern(path: &PathBuf) -> Result<Pattern, Error> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|source| Error::Read { path: path.display().to_string(), source })?;
    Ok(Pattern::parse(&text)?)
}

fn plan_for(pattern: Option<&Pattern>, seed: u64, load: f64) -> Plan {
    let Some(pattern) = pattern else { return Plan::virumaa(seed, load) };
    let mut plan = pattern.plan(seed);
    plan.load.factor *= load;
    plan
}

fn run_variant(variant: &Variant, load: f64, plans: impl Iterator<Item = Plan>) -> Row {
    let mut row = Row {
        variant: variant.name,
        load,
        total: JobStats::default(),
        classes: Vec::new(),
        answer_ages: Vec::new(),
    };
    for plan in plans {
        let verdict = simulate(&(variant.apply)(plan));
        row.total.add(&verdict.total());
        row.answer_ages.extend(&verdict.answer_ages);
        for (class, stats) in verdict.classes {
            match row.classes.iter_mut().find(|(name, _)| *name == class) {
                Some((_, sum)) => sum.add(&stats),
                None => row.classes.push((class, stats)),
            }
        }
    }
    row
}
