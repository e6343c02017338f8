//! Scenarios of the cases: `review_stand_in SCENARIO RECORD`. `TROUBLE=0` leaves the disruption out.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cancel;
mod handover;
mod host;
mod http;
mod isolated;
mod json;
mod minion;
mod paths;
mod record;
mod relay;
mod site;
mod store;
mod successor;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// Time after which a scenario is given up.
const LIMIT: Duration = Duration::from_secs(110);

/// Result of a scenario: what broke the rule, or `None` if it could not run.
type Verdict = Option<Vec<String>>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, path] = &arguments[..] else {
        eprintln!("usage: review_stand_in SCENARIO RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&PathBuf::from(path));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        // The hosts end with this process.
        std::process::exit(2);
    });
    let verdict: Verdict = match scenario.as_str() {
        "cancel" => cancel::run(&record, trouble),
        "isolated" => isolated::run(&record, trouble),
        "successor" => successor::run(&record, trouble),
        "paths" => paths::run(&record, trouble),
        "handover" => handover::run(&record, trouble),
        _ => None,
    };
    let (code, text) = match &verdict {
        None => (2, "the case could not run".to_owned()),
        Some(broken) if broken.is_empty() => (0, "the rule held".to_owned()),
        Some(broken) => (1, format!("the rule was broken {} times", broken.len())),
    };
    for line in verdict.iter().flatten() {
        record.note(&format!("BROKEN      {line}"));
    }
    record.note(&text);
    println!("{text}");
    ExitCode::from(code)
}
