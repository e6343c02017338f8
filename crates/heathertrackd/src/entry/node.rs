use super::boot_clock::Clock;
use super::event_log::EventLog;
use super::intakes::Intakes;
use super::state::State;
use super::transport::Transport;
use super::{callers, follow, link, ownership, ready, tick};
use heathertrack::clock::Time;
use heathertrack::pool::Options;
use heathertrack_platform::{
    CallerProtocol, HostRecord, HostSettings, LeaseId, MetadataStore, UpstreamClient,
};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;
use tokio::sync::Notify;

/// Interfaces of an entry host to the platform, the network and the clock.
pub trait Environment: Clone + 'static {
    /// Client of the store.
    type MetadataStore: MetadataStore;
    /// Client of the upstreams.
    type UpstreamClient: UpstreamClient;
    /// Format of callers' requests and answers.
    type CallerProtocol: CallerProtocol;
    /// Transport of connections with callers and other hosts.
    type Transport: Transport;
    /// Clock of the host.
    type Clock: Clock;

    /// Returns the client of the store.
    fn metadata_store(&self) -> &Self::MetadataStore;
    /// Returns the client of the upstreams.
    fn upstream_client(&self) -> &Self::UpstreamClient;
    /// Returns the format of callers' requests and answers.
    fn caller_protocol(&self) -> &Self::CallerProtocol;
    /// Returns the transport of connections.
    fn transport(&self) -> &Self::Transport;
    /// Returns the clock.
    fn clock(&self) -> &Self::Clock;
}

/// A running entry host.
#[derive(Debug)]
pub struct EntryHost<E> {
    pub(super) settings: HostSettings,
    pub(super) record: HostRecord,
    pub(super) environment: E,
    pub(super) state: RefCell<State>,
    pub(super) event_log: EventLog,
    /// What clients hold at the addresses of this host.
    pub(super) intakes: Intakes,
    /// Addresses of the peers that the settings name; changed by a reload.
    pub(super) seeds: RefCell<Vec<SocketAddr>>,
    /// Random number drawn at each start of the process, by which peers tell it from other
    /// processes on the host.
    pub(super) incarnation: u64,
    /// Wakes the task that reads the store when upstreams are assigned to this host, so that it
    /// reads their records at once.
    pub(super) wake_follower: Notify,
    /// Wakes the task that reassigns upstreams when a link or the state of a peer has changed.
    pub(super) wake_owners: Notify,
    /// Wakes the task that dials hosts when the store or a peer tells of a new one.
    pub(super) wake_dialler: Notify,
    /// Wakes the requests that wait for the first configuration, or for the store to confirm the one
    /// in force.
    pub(super) configuration_arrived: Notify,
    /// Wakes the searches for cancelled jobs when a host has answered one.
    pub(super) search_answered: Notify,
    /// Lease of the record of this host in the store.
    pub(super) lease: Cell<Option<LeaseId>>,
    /// Time until which that record is in the store, so that each host that starts learns of this one
    /// and opens a link to it if it needs one.
    pub(super) record_expiry: Cell<Time>,
}

/// Errors at the start of an entry host.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

impl<E: Environment> EntryHost<E> {
    /// Listens on the addresses of the settings and starts all tasks of the entry host. `options`
    /// are those of its dispatcher. Must be called within a
    /// [`tokio::task::LocalSet`].
    pub async fn bind(
        settings: HostSettings,
        environment: E,
        event_log: EventLog,
        options: Options,
    ) -> Result<Rc<Self>, EntryError> {
        let callers = listen(&environment, settings.callers_address).await?;
        let ready = listen(&environment, settings.readiness_address).await?;
        let peers = listen(&environment, settings.peers_address).await?;
        let record = HostRecord {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            peers: settings.peers_address,
            cpu_share: settings.cpu_share,
        };
        let entry = Rc::new(EntryHost {
            record,
            environment,
            state: RefCell::new(State::new(options, settings.configuration_time)),
            event_log,
            intakes: Intakes::new(settings.machine),
            seeds: RefCell::new(settings.seeds.clone()),
            incarnation: rand::random(),
            wake_follower: Notify::new(),
            wake_owners: Notify::new(),
            wake_dialler: Notify::new(),
            configuration_arrived: Notify::new(),
            search_answered: Notify::new(),
            lease: Cell::new(None),
            record_expiry: Cell::new(Time::ZERO),
            settings,
        });
        entry.event_log.started(&entry.settings);
        let started = entry.environment.clock().now();
        entry.state.borrow_mut().pool.on_start(started);
        callers::spawn(&entry, callers);
        ready::spawn(&entry, ready);
        link::spawn(&entry, peers);
        follow::spawn(&entry);
        ownership::spawn(&entry);
        tick::spawn(&entry);
        Ok(entry)
    }

    /// Returns the clock of the host.
    pub fn clock(&self) -> &E::Clock {
        self.environment.clock()
    }

    /// Applies settings that were read again: the seeds take effect at once, all else at the next
    /// start.
    pub fn reload(&self, settings: &HostSettings) {
        // The new settings with the seeds from the start, as a change of seeds needs no restart.
        let with_initial_seeds =
            HostSettings { seeds: self.settings.seeds.clone(), ..settings.clone() };
        let needs_restart = with_initial_seeds != self.settings;
        self.seeds.borrow_mut().clone_from(&settings.seeds);
        self.event_log.reloaded(&settings.seeds, needs_restart);
    }

    /// Logs that the settings could not be read again; the previous settings stay in force.
    pub fn reload_failed(&self, why: &str) {
        self.event_log.reload_failed(why);
    }

    /// Returns the current time. Each call counts as an event. A long time since the last one means
    /// that the process was suspended, as ticks call this also on an idle host; the effects of the
    /// suspension are then handled first.
    pub(super) fn now(self: &Rc<Self>) -> Time {
        let now = self.environment.clock().now();
        let gap = {
            let mut state = self.state.borrow_mut();
            let gap = now.since(state.last_event);
            state.last_event = now;
            gap
        };
        if gap > tick::MIN_SUSPENSION {
            self.handle_suspension(gap, now);
        }
        now
    }
}

async fn listen<E: Environment>(
    environment: &E,
    address: SocketAddr,
) -> Result<<E::Transport as Transport>::Listener, EntryError> {
    let listener = environment.transport().listen(address).await;
    listener.map_err(|source| EntryError::Listen { address, source })
}
