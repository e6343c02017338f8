//! Runs one policy in a process of its own, since all hosts of a process share its counters.

use crate::arguments::Arguments;
use crate::figures::{Figures, Report};
use std::process::Stdio;
use tokio::process::Command;

/// The figures of one policy.
pub async fn run(arguments: &Arguments, variant: &str) -> Vec<Figures> {
    let own = std::env::current_exe().expect("a program knows where it is");
    let mut command = Command::new(own);
    command.args(["--json", "--variant", variant]);
    command.args(["--seed", &arguments.seed.to_string()]);
    command.args(["--setup", arguments.setup.name()]);
    command.args(["--seconds", &arguments.seconds.to_string()]);
    if let Some(load) = arguments.load {
        command.args(["--load", &load.to_string()]);
    }
    if let Some(fault) = arguments.fault {
        command.args(["--fault", fault.name()]);
    }
    let output = command.stderr(Stdio::inherit()).output().await.expect("it runs once more");
    let report: Report = serde_json::from_slice(&output.stdout).expect("it prints a report");
    report.runs
}
