//! Command line program for operators and callers.

mod check;
mod command;
mod exit;
mod explain;
mod jobs;
mod lists;
mod operators;
mod status;

use command::{Command, Heathertrack};
use exit::Exit;
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Heathertrack = argh::from_env();
    let json = arguments.json;
    let exit = match arguments.command {
        Command::Check(command) => check::run(&command, json),
        Command::Lists(command) => lists::run(command, json).await,
        Command::Status(command) => status::run(&command, json).await,
        Command::Submit(command) => jobs::submit(&command, json).await,
        Command::Cancel(command) => jobs::cancel(&command, json).await,
        Command::Watch(command) => jobs::watch(&command, json).await,
        Command::Explain(command) => explain::run(&command, json),
    };
    exit.unwrap_or_else(|report| {
        eprintln!("{report:?}");
        Exit::Failed
    })
    .into()
}
