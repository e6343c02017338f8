//! Measures one policy in a child process, because all hosts of a process share its counters.

use crate::arguments::Arguments;
use crate::figures::{Figures, Report};
use std::process::Stdio;
use tokio::process::Command;

/// Runs this program again for one policy and returns its figures.
pub async fn run(arguments: &Arguments, variant: &str) -> Vec<Figures> {
    let own = std::env::current_exe().expect("the path of this program is known");
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
    let output =
        command.stderr(Stdio::inherit()).output().await.expect("the child process can be run");
    let report: Report =
        serde_json::from_slice(&output.stdout).expect("the child process prints a report");
    report.runs
}
