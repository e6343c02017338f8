use super::boot_clock::BootClock;
use super::journal::Journal;
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
use tokio::net::TcpListener;

/// The parts of a platform's adapter.
pub trait Adapter: Clone + 'static {
    /// Its store.
    type Metadata: Metadata;
    /// Its upstreams.
    type Upstreams: Upstreams;
    /// Its callers.
    type Front: Front;

    /// The store.
    fn metadata(&self) -> &Self::Metadata;
    /// The upstreams.
    fn upstreams(&self) -> &Self::Upstreams;
    /// The callers.
    fn front(&self) -> &Self::Front;
}

/// A running entry host.
#[derive(Debug)]
pub struct Entry<A> {
    pub(super) deployment: Deployment,
    pub(super) record: HostRecord,
    pub(super) clock: BootClock,
    pub(super) adapter: A,
    pub(super) state: RefCell<State>,
    pub(super) journal: Journal,
    /// Peer addresses of some hosts, as the settings name them now.
    pub(super) seeds: RefCell<Vec<SocketAddr>>,
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
    /// The log can't be opened.
    #[error("the log cannot be opened: {0}")]
    Log(#[from] spdlog::Error),
}

impl<A: Adapter> Entry<A> {
    /// Starts an entry host on the addresses of its settings. To be called within a
    /// [`tokio::task::LocalSet`].
    pub async fn bind(deployment: Deployment, adapter: A) -> Result<Rc<Self>, EntryError> {
        let callers = listen(deployment.callers).await?;
        let ready = listen(deployment.ready).await?;
        let peers = listen(deployment.peers).await?;
        let record = HostRecord {
            name: deployment.name.clone(),
            data_centre: deployment.data_centre.clone(),
            peers: deployment.peers,
            cpu_share: deployment.cpu_share,
        };
        let journal = Journal::open(&deployment.name, &deployment.data_centre)?;
        let entry = Rc::new(Entry {
            record,
            clock: BootClock::start(),
            adapter,
            state: RefCell::new(State::new(Options::default())),
            journal,
            seeds: RefCell::new(deployment.seeds.clone()),
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
        let now = self.clock.now();
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

async fn listen(address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address).await.map_err(|source| EntryError::Listen { address, source })
}
