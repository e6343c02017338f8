//! The dispatcher's daemon.

use argh::FromArgs;
use heathertrack_platform::{Etcd, HttpHostList};
use heathertrackd::{Node, Settings};
use miette::{IntoDiagnostic, Report, WrapErr};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Exit status when the settings have findings.
const BAD_SETTINGS: u8 = 2;

/// The dispatcher's daemon, one on each entry host. Runs until SIGTERM or SIGINT, then ends its
/// work and hands its records to a peer. Settings are read once, at the start.
#[derive(FromArgs)]
struct Arguments {
    /// file of settings, in JSON
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let settings = match read(&arguments.settings) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn read(path: &PathBuf) -> Result<Settings, Report> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read {name}"))?;
    Ok(Settings::read(&name, &text)?)
}

fn run(settings: Settings) -> Result<(), Report> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if settings.limits.threads > 0 {
        builder.worker_threads(settings.limits.threads);
    }
    let runtime = builder.enable_all().build().into_diagnostic()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Report> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let store = Etcd::open(settings.platform.store.clone());
    let hosts = HttpHostList::open(settings.platform.host_list.clone());
    let node = Node::bind(settings, store, hosts).await.into_diagnostic()?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stop().await;
    Ok(())
}
