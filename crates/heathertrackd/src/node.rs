//! A daemon with all its parts: starts them, and stops them in order.

use crate::callers::{self, Listener};
use crate::claims::{self, Claims};
use crate::clock::Clock;
use crate::dispatch::DispatchService;
use crate::gate::{self, Gate};
use crate::home::Submissions;
use crate::log::{Event, Log, LogError};
use crate::metrics;
use crate::operators;
use crate::placement::Placement;
use crate::settings::Settings;
use crate::state::{Parts, State};
use crate::timer::Timer;
use crate::{drain, heartbeats, hosts, lists, seats, server, tick};
use heathertrack::dispatch::Options;
use heathertrack::home::{Clocks, SubmissionRegistry};
use heathertrack::membership::{Successions, View};
use heathertrack::record;
use heathertrack::ticket::{Home, Incarnation, Issuer, Secret};
use heathertrack_platform::{HostList, Store};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;
use tokio::net::TcpListener;

/// A running daemon and its listeners.
#[derive(Debug)]
pub struct Node {
    state: Arc<State>,
    callers: Listener,
    operators: Listener,
    addresses: Addresses,
}

/// Addresses that a daemon is bound to, with the actual port where the settings say port 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other entry hosts.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

/// Error that keeps a daemon from starting.
#[derive(Debug, Error)]
pub enum BindError {
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address in the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The log cannot be opened.
    #[error(transparent)]
    Log(#[from] LogError),
}

impl Node {
    /// Binds the addresses in the settings and starts the daemon.
    pub async fn bind(
        settings: Settings,
        store: impl Store,
        host_list: impl HostList,
    ) -> Result<Self, BindError> {
        let callers = listen(settings.listen.callers).await?;
        let peers = listen(settings.listen.peers).await?;
        let operators = listen(settings.listen.operators).await?;
        let addresses = Addresses {
            callers: address(&callers, settings.listen.callers),
            peers: address(&peers, settings.listen.peers),
            operators: address(&operators, settings.listen.operators),
        };
        metrics::install();
        let (state, inbox) = assemble(settings)?;
        lists::spawn(&state, store.clone());
        hosts::spawn(&state, host_list);
        claims::spawn(&state, store.clone(), inbox);
        seats::spawn(&state, store);
        gate::spawn_lending(&state);
        heartbeats::spawn(&state);
        tick::spawn(&state);
        server::spawn(&state, peers);
        let connections = state.settings.limits.connections;
        let callers = callers::spawn(&state, callers, connections, callers::answer);
        let max_connections = operators::MAX_CONNECTIONS;
        let operators = callers::spawn(&state, operators, max_connections, operators::answer);
        state.log.write(&Event::Started(format!("callers at {}", addresses.callers)));
        Ok(Node { state, callers, operators, addresses })
    }

    /// Returns the addresses that the daemon is bound to.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Shuts down gracefully: drains the work, hands the records to a peer, then returns.
    pub async fn stop(self) {
        drain::run(&self.state).await;
        self.callers.stop().await;
        self.state.shutdown.cancel();
        self.operators.stop().await;
        self.state.log.write(&Event::Stopped);
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, BindError> {
    TcpListener::bind(address).await.map_err(|source| BindError::Listen { address, source })
}

/// Returns the address that a listener is bound to, with its actual port.
fn address(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
}

fn new_submissions(issuer: Issuer, settings: &Settings, clock: &Clock) -> Submissions {
    let bounds = record::Limits::default()
        .records(settings.limits.records)
        .answer_bytes(settings.limits.answer_bytes);
    let clocks = Clocks { now: clock.now(), wall_ms: clock.wall_ms() };
    SubmissionRegistry::new(issuer, settings.limits.minted, bounds, clocks)
}

/// Builds the shared state from the settings. Also returns the inbox of claim requests.
fn assemble(settings: Settings) -> Result<(Arc<State>, claims::Inbox), LogError> {
    let clock = Clock::start();
    let log = Log::open(&settings.name, &settings.data_centre)?;
    let home = Home {
        data_centre: settings.data_centre.clone(),
        host: settings.name.clone(),
        incarnation: Incarnation::at_start(clock.wall_ms(), rand::random()),
    };
    let issuer = Issuer::new(home.clone(), Secret(rand::random()));
    let options = Options::default()
        .objective(settings.policy.objective)
        .placement(settings.policy.placement())
        .seed(rand::random());
    let window = settings.limits.minted;
    // After that time, no ticket or key of a stopped process is accepted any more.
    let retention = settings.limits.ticket_valid.max(window.claim_ttl());
    let (claims, inbox) = Claims::new();
    let parts = Parts {
        clock,
        timer: Timer::spawn(),
        log,
        view: View::new(home.clone(), heartbeats::PEER_TIMEOUT),
        successions: Successions::new(retention),
        dispatcher: DispatchService::new(options),
        gate: Gate::new(clock),
        placement: Placement::new(),
        submissions: new_submissions(issuer, &settings, &clock),
        claims,
        home,
        settings,
    };
    Ok((State::new(parts), inbox))
}
