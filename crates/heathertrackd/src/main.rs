//! Starts the dispatcher daemon from a settings file or from the users' platform.

use argh::FromArgs;
use heathertrack::pool::{Options, shortage};
use heathertrack_adapter::{HttpMetadataStore, HttpUpstreamClient, JobProtocol};
use heathertrack_platform::{Etcd, HostSettings, HttpHostList};
use heathertrackd::entry::{BootClock, EntryHost, Environment, EventLog, TcpTransport};
use heathertrackd::{Node, Settings};
use miette::{IntoDiagnostic, Report, WrapErr, miette};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Exit status when the settings are missing, cannot be read or are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Message of a failed start of tokio.
const NO_RUNTIME: &str = "cannot start the async runtime";

/// Timeout of an order to start or stop a run: ten round trips between data centres. The shortest
/// objective leaves time for a second start after a timeout.
const ORDER_TIMEOUT: Duration = Duration::from_millis(30);
/// Timeout of a poll of an upstream, on top of the wait that the poll asks for.
const POLL_TIMEOUT: Duration = Duration::from_millis(60);

/// Dispatcher daemon of an entry host. Runs until SIGTERM or SIGINT, then drains its work and
/// stops.
#[derive(FromArgs)]
struct Arguments {
    /// settings file in JSON, read once at the start
    #[argh(option)]
    settings: Option<PathBuf>,
    /// run on the users' platform, with the settings file named by HEATHERTRACK_BOOT
    #[argh(switch)]
    platform: bool,
    /// with --platform: port on the host's own IP address that serves GET /metrics
    #[argh(option)]
    metrics_port: Option<u16>,
}

/// The store, upstreams, job API, network and clock of the users' platform.
#[derive(Clone)]
struct UsersPlatform {
    store: HttpMetadataStore,
    upstream_client: HttpUpstreamClient,
    caller_protocol: JobProtocol,
    clock: BootClock,
}

impl Environment for UsersPlatform {
    type MetadataStore = HttpMetadataStore;
    type UpstreamClient = HttpUpstreamClient;
    type CallerProtocol = JobProtocol;
    type Transport = TcpTransport;
    type Clock = BootClock;

    fn metadata_store(&self) -> &HttpMetadataStore {
        &self.store
    }

    fn upstream_client(&self) -> &HttpUpstreamClient {
        &self.upstream_client
    }

    fn caller_protocol(&self) -> &JobProtocol {
        &self.caller_protocol
    }

    fn transport(&self) -> &TcpTransport {
        &TcpTransport
    }

    fn clock(&self) -> &BootClock {
        &self.clock
    }
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match (&arguments.settings, arguments.platform) {
        // With --platform, --settings is ignored.
        (_, true) => {
            read_host_settings().map(|settings| run_on_platform(settings, arguments.metrics_port))
        }
        (Some(path), false) => read_settings(path).map(run_standalone),
        (None, false) => Err(miette!("either --settings or --platform is needed")),
    };
    match result {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(report)) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
    }
}

/// Reads the settings file of the users' platform.
fn read_host_settings() -> Result<HostSettings, Report> {
    let variable = heathertrack_adapter::settings::PATH_VARIABLE;
    let path = std::env::var_os(variable).ok_or_else(|| miette!("{variable} is not set"))?;
    let text = std::fs::read_to_string(&path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read {}", path.display()))?;
    heathertrack_adapter::settings::read(&text)
        .map_err(|findings| miette!("{}: {}", path.display(), findings.join("; ")))
}

fn run_on_platform(settings: HostSettings, metrics_port: Option<u16>) -> Result<(), Report> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()
        .wrap_err(NO_RUNTIME)?;
    tokio::task::LocalSet::new().block_on(&runtime, serve_on_platform(settings, metrics_port))
}

/// Serves until SIGTERM or SIGINT, and reads the settings again on SIGHUP.
async fn serve_on_platform(
    settings: HostSettings,
    metrics_port: Option<u16>,
) -> Result<(), Report> {
    let mut terminate =
        signal(SignalKind::terminate()).into_diagnostic().wrap_err("cannot handle SIGTERM")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).into_diagnostic().wrap_err("cannot handle SIGINT")?;
    let mut hangup =
        signal(SignalKind::hangup()).into_diagnostic().wrap_err("cannot handle SIGHUP")?;
    let platform = UsersPlatform {
        store: HttpMetadataStore::new(settings.store_address),
        upstream_client: HttpUpstreamClient::new(ORDER_TIMEOUT, POLL_TIMEOUT),
        caller_protocol: JobProtocol,
        clock: BootClock::start(),
    };
    let ip = settings.ip;
    let event_log = EventLog::open(&settings.name, &settings.data_centre)
        .into_diagnostic()
        .wrap_err("cannot open the event log")?;
    let options = Options {
        min_upstreams_for_shares: shortage::min_upstreams(settings.cpu_share),
        ..Options::default()
    };
    let entry = EntryHost::bind(settings, platform, event_log, options).await.into_diagnostic()?;
    if let Some(port) = metrics_port {
        let address = SocketAddr::new(ip, port);
        let serving = entry.serve_metrics(address).await.into_diagnostic();
        serving.wrap_err_with(|| format!("cannot serve metrics on {address}"))?;
    }
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match read_host_settings() {
                Ok(settings) => entry.reload(&settings),
                Err(report) => entry.reload_failed(&report.to_string()),
            },
        }
    }
    entry.stop().await;
    Ok(())
}

/// Reads the settings file named on the command line.
fn read_settings(path: &PathBuf) -> Result<Settings, Report> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read {name}"))?;
    Ok(Settings::read(&name, &text)?)
}

fn run_standalone(settings: Settings) -> Result<(), Report> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if settings.limits.threads > 0 {
        builder.worker_threads(settings.limits.threads);
    }
    let runtime = builder.enable_all().build().into_diagnostic().wrap_err(NO_RUNTIME)?;
    runtime.block_on(serve_standalone(settings))
}

/// Serves until SIGTERM or SIGINT.
async fn serve_standalone(settings: Settings) -> Result<(), Report> {
    let mut terminate =
        signal(SignalKind::terminate()).into_diagnostic().wrap_err("cannot handle SIGTERM")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).into_diagnostic().wrap_err("cannot handle SIGINT")?;
    let store = Etcd::new(settings.platform.store.clone());
    let hosts = HttpHostList::new(settings.platform.host_list.clone());
    let node = Node::bind(settings, store, hosts).await.into_diagnostic()?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stop().await;
    Ok(())
}
