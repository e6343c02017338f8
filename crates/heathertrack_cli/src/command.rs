//! Command line arguments. The doc comments are printed by `--help`, and the names of the fields
//! are those of the options: `operators` holds addresses.

use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Checks settings and lists, edits the lists, shows the state of the entry hosts, and submits
/// jobs.
///
/// Exit status: 0 done, 1 something failed, 2 a document has findings, 3 an edit is accepted but
/// not in force on every host asked, 4 an edit met another one and was not written, 5 a job has no
/// answer and did not run, 6 a job has no answer and may have run.
#[derive(FromArgs, Debug)]
pub struct Heathertrack {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    Check(Check),
    Lists(Lists),
    Status(Status),
    Submit(Submit),
    Cancel(Cancel),
    Watch(Watch),
    Explain(Explain),
}

/// Check settings or lists and print every finding with its location.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct Check {
    #[argh(subcommand)]
    pub what: CheckCommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum CheckCommand {
    Settings(CheckSettings),
    Lists(CheckLists),
    Platform(CheckPlatform),
}

/// Check the settings of entry hosts.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "settings")]
pub struct CheckSettings {
    /// settings files
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Check the settings files of entry hosts on the users' platform.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "platform")]
pub struct CheckPlatform {
    /// settings files, in TOML
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Check lists. With both lists, also check that every plan in use has an allowance.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "lists")]
pub struct CheckLists {
    /// list files
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Show and edit the two lists in the platform's store.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "lists")]
pub struct Lists {
    /// address of the platform's store; may be repeated
    #[argh(option)]
    pub store: Vec<SocketAddr>,
    /// prefix of all keys in the store
    #[argh(option, default = "\"/heathertrack\".to_owned()")]
    pub prefix: String,
    #[argh(subcommand)]
    pub what: ListsCommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum ListsCommand {
    Show(Show),
    Diff(Diff),
    Apply(Apply),
    History(History),
}

/// Print a list with its revision, ready to be edited and applied.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct Show {
    /// plans or allowances
    #[argh(positional)]
    pub list: String,
}

/// Print what a file would change.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// list file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Write a list, unless it was changed since the revision in the file, and wait until it is in
/// force everywhere.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// list file
    #[argh(positional)]
    pub file: PathBuf,
    /// operators' address of an entry host; this host and all hosts it knows are asked whether the
    /// edit is in force; may be repeated
    #[argh(option)]
    pub operators: Vec<SocketAddr>,
    /// maximum time to wait until the edit is in force, in seconds
    #[argh(option, default = "10")]
    pub wait: u64,
}

/// Print the last edits of a list that the store still keeps, newest first.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
pub struct History {
    /// plans or allowances
    #[argh(positional)]
    pub list: String,
    /// maximum number of edits to print
    #[argh(option, default = "10")]
    pub last: usize,
}

/// Show the state of entry hosts: lists in force, peers, upstreams, customers' shares.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// operators' addresses of entry hosts
    #[argh(positional)]
    pub operators: Vec<SocketAddr>,
}

/// Submit a job and print its answer. The token is read from HEATHERTRACK_TOKEN.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "submit")]
pub struct Submit {
    /// callers' address of an entry host
    #[argh(option)]
    pub host: SocketAddr,
    /// idempotency key; a new UUIDv7 if none is given
    #[argh(option)]
    pub key: Option<String>,
    /// job file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Cancel a job. The token is read from HEATHERTRACK_TOKEN.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "cancel")]
pub struct Cancel {
    /// callers' address of an entry host
    #[argh(option)]
    pub host: SocketAddr,
    /// idempotency key of the job
    #[argh(positional)]
    pub key: String,
}

/// Wait for a job and print its answer. The token is read from HEATHERTRACK_TOKEN.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "watch")]
pub struct Watch {
    /// callers' address of an entry host
    #[argh(option)]
    pub host: SocketAddr,
    /// idempotency key of the job
    #[argh(positional)]
    pub key: String,
}

/// Explain the outcome of a request from the logs of entry hosts on the users' platform.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// identifier of the job
    #[argh(positional)]
    pub id: String,
    /// log files of all hosts
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}
