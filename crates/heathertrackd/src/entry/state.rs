use super::frame::Frame;
use super::mirror::Mirror;
use heathertrack::clock::Time;
use heathertrack::membership::CatchUp;
use heathertrack::membership::depth::{Depth, depth};
use heathertrack::membership::links::Bond;
use heathertrack::name::{Host, Upstream};
use heathertrack::pool::job::Outcome;
use heathertrack::pool::{JobKey, Load, Options, Pool, upstream};
use heathertrack::routes::Table;
use heathertrack_platform::HostRecord;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Time after a failed reading of the store within which the next has succeeded or failed: the
/// longest wait of a call, its timeout, and the pause before it.
const NEXT_READING: Duration = Duration::from_secs(3);

/// Everything that an entry host believes and has in progress.
#[derive(Debug)]
pub struct State {
    pub pool: Pool,
    pub mirror: Mirror,
    /// The configuration in force.
    pub table: Option<Rc<Table>>,
    /// Usable records of upstreams.
    pub upstreams: BTreeMap<Upstream, upstream::Record>,
    /// Upstreams whose records are gone, and since when.
    pub missing: BTreeMap<Upstream, Time>,
    /// Hosts that the store or a peer named.
    pub hosts: BTreeMap<Host, HostRecord>,
    /// Hosts with a live link.
    pub peers: BTreeMap<Host, Peer>,
    /// Where the outcome of a job of the own pool goes.
    pub replies: BTreeMap<JobKey, Reply>,
    /// Jobs that were handed to other dispatchers.
    pub calls: BTreeMap<u64, Handed>,
    pub next_call: u64,
    /// Jobs whose callers wait here.
    pub callers: usize,
    /// SIGTERM was received.
    pub leaving: bool,
    /// When a planned stop ends the process at the latest.
    pub stops_by: Option<Time>,
    /// When the last event was handled; a long gap means that the process was suspended.
    pub last_event: Time,
    /// Which peers are asked for newer items, and when.
    pub catch_up: CatchUp,
    /// Up to which revision the configuration was followed.
    pub configured: u64,
    /// Whether every change of the store is followed, and was up to the last answer.
    pub is_mirrored: bool,
    /// This host has upstreams to dispatch to, or would have if it followed their records.
    pub wants_upstreams: bool,
    /// When the store last answered a question for changes.
    pub store_read: Option<Time>,
    /// When the store last failed, if it has at all.
    pub store_failed: Option<Time>,
    /// The dispatchers of all data centres, among the live hosts.
    pub dispatchers: Vec<Host>,
    /// Whether this host owns upstreams of its own data centre.
    pub dispatches: bool,
    /// How many upstreams this host owns, of whichever data centre.
    pub owned: usize,
    /// The owners of upstreams may have changed.
    pub owners_stale: bool,
    /// When a data centre was last seen without a live host.
    pub deserted: BTreeMap<heathertrack::name::DataCentre, Time>,
}

/// Another entry host with a live link.
#[derive(Debug)]
pub struct Peer {
    /// Tells links to the same host apart.
    pub link: u64,
    pub record: HostRecord,
    pub frames: mpsc::Sender<Frame>,
    /// Which process of the host it is.
    pub incarnation: u64,
    /// Whether this host dialled.
    pub dialled: bool,
    pub leaving: bool,
    pub dispatches: bool,
    pub load: Load,
    /// Cores of the jobs that were handed over since that load was told.
    pub handed_cores: f64,
    /// Jobs of the own pool that came from it, by its number.
    pub jobs: BTreeMap<u64, JobKey>,
    /// When it was last told that this host lives.
    pub told: Time,
    /// Time after that within which it was promised the next sign of life.
    pub promised: Duration,
    /// When a job was last handed to it.
    pub handed: Option<Time>,
    /// Since when neither host has any use for the link.
    pub unused_since: Option<Time>,
}

impl Peer {
    /// Whether it owns upstreams.
    pub fn is_dispatcher(&self) -> bool {
        self.dispatches || self.load.cores > 0.0
    }
}

/// Where the outcome of a job goes.
#[derive(Debug)]
pub enum Reply {
    /// To a caller that waits here.
    Here(oneshot::Sender<Outcome>),
    /// To a peer, by its number of the job.
    Peer(Host, u64),
}

/// A job that another dispatcher has.
#[derive(Debug)]
pub struct Handed {
    pub host: Host,
    pub reply: oneshot::Sender<Outcome>,
}

impl State {
    /// Nothing is known yet.
    pub fn new(options: Options) -> Self {
        State {
            pool: Pool::new(options),
            mirror: Mirror::default(),
            table: None,
            upstreams: BTreeMap::new(),
            missing: BTreeMap::new(),
            hosts: BTreeMap::new(),
            peers: BTreeMap::new(),
            replies: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            callers: 0,
            leaving: false,
            stops_by: None,
            last_event: Time::ZERO,
            catch_up: CatchUp::default(),
            configured: 0,
            is_mirrored: false,
            wants_upstreams: false,
            store_read: None,
            store_failed: None,
            dispatchers: Vec::new(),
            dispatches: false,
            owned: 0,
            owners_stale: true,
            deserted: BTreeMap::new(),
        }
    }

    /// What this host has to do with another.
    pub fn bond(&self, own: &HostRecord, other: &HostRecord, seeds: &[SocketAddr]) -> Bond {
        let peer = self.peers.get(&other.name);
        let has_jobs = |peer: &Peer| !peer.jobs.is_empty() || self.has_call(&other.name);
        Bond {
            near: own.data_centre == other.data_centre,
            dispatches: self.is_dispatcher() || peer.is_some_and(Peer::is_dispatcher),
            jobs: peer.is_some_and(has_jobs),
            seed: seeds.contains(&other.peers),
        }
    }

    /// Whether a job is in the hands of a peer.
    pub fn has_call(&self, host: &Host) -> bool {
        self.calls.values().any(|handed| handed.host == *host)
    }

    /// Whether this host owns upstreams.
    pub fn is_dispatcher(&self) -> bool {
        self.owned > 0
    }

    /// How much of the store this host follows.
    pub fn depth(&self) -> Depth {
        depth(self.upstreams.len(), self.wants_upstreams)
    }

    /// Whether upstreams are known as they are now, or as well as they can be while the store
    /// doesn't answer.
    pub fn knows_upstreams(&self, now: Time) -> bool {
        let fails = self.store_failed.is_some_and(|failed| now.since(failed) < NEXT_READING);
        self.is_mirrored || fails
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }
}
