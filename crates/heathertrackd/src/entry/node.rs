use super::boot_clock::Clock;
use super::journal::Journal;
use super::net::Net;
use super::state::State;
use super::{callers, follow, link, ready, tick};
use heathertrack::clock::Time;
use heathertrack::pool::Options;
use heathertrack_platform::{Deployment, Front, HostRecord, LeaseKey, Metadata, Upstreams};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;
use tokio::sync::Notify;

/// What surrounds a host: the platform, the network and the clock.
pub trait Environment: Clone + 'static {
    /// Its store.
    type Metadata: Metadata;
    /// Its upstreams.
    type Upstreams: Upstreams;
    /// Its callers.
    type Front: Front;
    /// Its connections with callers and other hosts.
    type Net: Net;
    /// Its clock.
    type Clock: Clock;

    /// The store.
    fn metadata(&self) -> &Self::Metadata;
    /// The upstreams.
    fn upstreams(&self) -> &Self::Upstreams;
    /// The callers.
    fn front(&self) -> &Self::Front;
    /// The connections.
    fn net(&self) -> &Self::Net;
    /// The clock.
    fn clock(&self) -> &Self::Clock;
}

/// A running entry host.
#[derive(Debug)]
pub struct Entry<E> {
    pub(super) deployment: Deployment,
    pub(super) record: HostRecord,
    pub(super) environment: E,
    pub(super) state: RefCell<State>,
    pub(super) journal: Journal,
    /// Peer addresses of some hosts, as the settings name them now.
    pub(super) seeds: RefCell<Vec<SocketAddr>>,
    /// Drawn anew at each start of the process.
    pub(super) incarnation: u64,
    /// Upstreams are to be followed at once.
    pub(super) follow_more: Notify,
    /// Lease of this host's record in the store.
    pub(super) lease: Cell<Option<LeaseKey>>,
}

/// Why an entry host could not start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address can't be listened at.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}

impl<E: Environment> Entry<E> {
    /// Starts an entry host on the addresses of its settings. To be called within a
    /// [`tokio::task::LocalSet`].
    pub async fn bind(
        deployment: Deployment,
        environment: E,
        journal: Journal,
        options: Options,
    ) -> Result<Rc<Self>, EntryError> {
        let callers = listen(&environment, deployment.callers).await?;
        let ready = listen(&environment, deployment.ready).await?;
        let peers = listen(&environment, deployment.peers).await?;
        let record = HostRecord {
            name: deployment.name.clone(),
            data_centre: deployment.data_centre.clone(),
            peers: deployment.peers,
            cpu_share: deployment.cpu_share,
        };
        let entry = Rc::new(Entry {
            record,
            environment,
            state: RefCell::new(State::new(options)),
            journal,
            seeds: RefCell::new(deployment.seeds.clone()),
            incarnation: rand::random(),
            follow_more: Notify::new(),
            lease: Cell::new(None),
            deployment,
        });
        entry.journal.started(&entry.deployment);
        callers::spawn(&entry, callers);
        ready::spawn(&entry, ready);
        link::spawn(&entry, peers);
        follow::spawn(&entry);
        tick::spawn(&entry);
        Ok(entry)
    }

    /// The host's clock.
    pub fn clock(&self) -> &E::Clock {
        self.environment.clock()
    }

    /// Takes settings that were read again: seeds are in force at once, all else at the next start.
    pub fn reload(&self, deployment: &Deployment) {
        let restart = Deployment { seeds: self.deployment.seeds.clone(), ..deployment.clone() };
        let needs_restart = restart != self.deployment;
        self.seeds.borrow_mut().clone_from(&deployment.seeds);
        self.journal.reloaded(&deployment.seeds, needs_restart);
    }

    /// The settings could not be read again; those of before stay in force.
    pub fn reload_failed(&self, why: &str) {
        self.journal.reload_failed(why);
    }

    /// The time, after what a suspension of the process brought about was done.
    pub(super) fn now(self: &Rc<Self>) -> Time {
        let now = self.environment.clock().now();
        let gap = {
            let mut state = self.state.borrow_mut();
            let gap = now.since(state.last_event);
            state.last_event = now;
            gap
        };
        if gap > tick::SUSPENDED {
            self.resume(gap, now);
        }
        now
    }
}

async fn listen<E: Environment>(
    environment: &E,
    address: SocketAddr,
) -> Result<<E::Net as Net>::Listener, EntryError> {
    let listener = environment.net().listen(address).await;
    listener.map_err(|source| EntryError::Listen { address, source })
}
