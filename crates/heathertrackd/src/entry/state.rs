use super::cancel::WaitingJobs;
use super::link::Outbox;
use super::mirror::Mirror;
use heathertrack::clock::Time;
use heathertrack::membership::depth::{MirrorScope, first_full_read_delay, mirror_scope};
use heathertrack::membership::links::Relation;
use heathertrack::membership::{CatchUp, Confirmation};
use heathertrack::name::{DataCentre, Host, Upstream};
use heathertrack::pool::job::{Id, Outcome};
use heathertrack::pool::search::Search;
use heathertrack::pool::{JobKey, Load, Options, Pool, Roster, roster, upstream};
use heathertrack::routes::RouteTable;
use heathertrack_platform::HostRecord;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time after a failed read of the store within which the next read has succeeded or failed: the
/// longest wait of a call, its timeout, and the pause before it.
pub const MAX_READ_INTERVAL: Duration = Duration::from_secs(3);

/// State of an entry host: its view of the cluster and the work in progress.
#[derive(Debug)]
pub struct State {
    pub pool: Pool,
    pub mirror: Mirror,
    /// Routing table of the configuration in force; `None` until one is known.
    pub table: Option<Rc<RouteTable>>,
    /// Records of upstreams that can be dispatched to.
    pub upstreams: BTreeMap<Upstream, upstream::Record>,
    /// Upstreams whose records are missing from the store, with the time since when.
    pub missing_upstreams: BTreeMap<Upstream, Time>,
    /// Hosts known from the store or from a link.
    pub hosts: BTreeMap<Host, HostRecord>,
    /// Revision of the last known change of the record of this host in the store, by whichever writer.
    pub own_record_revision: u64,
    /// Hosts with a live link.
    pub peers: BTreeMap<Host, Peer>,
    /// Destinations of the outcomes of jobs in the pool of this host.
    pub replies: BTreeMap<JobKey, Reply>,
    /// Jobs handed to other dispatchers, by call number.
    pub remote_jobs: BTreeMap<u64, RemoteJob>,
    /// Callers' jobs that this host is running.
    pub waiting_jobs: WaitingJobs,
    /// Searches for jobs that callers of this host cancel, by number.
    pub searches: BTreeMap<u64, Search>,
    /// Hosts that were lost without a planned stop and are not back, with the time of the loss.
    pub lost_hosts: BTreeMap<Host, Time>,
    /// Number given last to a link, a remote job, a caller's job or a search.
    pub last_number: u64,
    /// Number of callers with a request in progress on this host.
    pub waiting_callers: usize,
    /// Whether a planned stop has begun.
    pub leaving: bool,
    /// Latest time at which a planned stop ends the process.
    pub stops_by: Option<Time>,
    /// Time of the last event; a long gap means that the process was suspended.
    pub last_event: Time,
    /// Limits how often peers are asked for newer items.
    pub catch_up: CatchUp,
    /// Revision of the store up to which the operators' configuration and requests were read.
    pub configuration_revision: u64,
    /// Revision of the newest known item of the operators, from the store or a peer.
    pub operator_revision: u64,
    /// Data centres that the operators have evacuated, with the revisions of their requests.
    pub evacuated: BTreeMap<DataCentre, u64>,
    /// Until when the store is known to have held no newer configuration.
    pub confirmation: Confirmation,
    /// Time of the first read of the configuration and the hosts, or of the one after changes were
    /// missed; `None` before it.
    pub directory_read: Option<Time>,
    /// Whether the last successful read of the store covered all items, so that the mirror was then
    /// current.
    pub is_mirror_current: bool,
    /// Whether this host has had a configuration and current records of upstreams since its start.
    pub has_started: bool,
    /// Whether upstreams are assigned to this host. It does not own them until it has read their
    /// records.
    pub has_assigned_upstreams: bool,
    /// Time of the last successful read of the store.
    pub last_store_read: Option<Time>,
    /// Time of the last failed read of the store.
    pub last_store_failure: Option<Time>,
    /// Dispatchers of all data centres, chosen among the live hosts.
    pub dispatchers: Vec<Host>,
    /// Number of upstreams that are assigned to this host and whose records it has read, in any data
    /// centre.
    pub owned_upstreams: usize,
    /// Whether the assignment of upstreams has to be recomputed.
    pub owners_stale: bool,
    /// Hosts that hold rosters of this host's runs, by upstream. A host keeps its roster when the upstream
    /// passes on, and may go on renewing by it until it learns of that.
    pub roster_holders: BTreeMap<Upstream, BTreeMap<Host, HeldRoster>>,
    /// Data centres without a live host, with the time since when.
    pub unattended_centres: BTreeMap<DataCentre, Time>,
}

/// A roster of this host's runs that a peer holds.
#[derive(Clone, Debug)]
pub struct HeldRoster {
    /// Number of the link on which it was sent. The peer drops the roster with the link.
    pub link: u64,
    /// Whether a run has left the roster that the peer still has to learn of.
    pub is_stale: bool,
    /// The runs on it.
    pub runs: BTreeSet<roster::Entry>,
}

impl HeldRoster {
    /// Returns whether the peer has to be sent a roster on its present link in place of this one. Runs that
    /// have ended may stay on it; the upstream's lists show their end.
    pub fn is_outdated(&self, link: u64, roster: &Roster) -> bool {
        self.link != link || self.is_stale || !roster.runs.is_subset(&self.runs)
    }
}

/// Another entry host with a live link.
#[derive(Debug)]
pub struct Peer {
    /// Distinguishes successive links to the same host.
    pub link_number: u64,
    pub record: HostRecord,
    /// Queue of messages to the peer.
    pub outbox: Outbox,
    /// Incarnation of the process at the other end.
    pub incarnation: u64,
    /// Whether the peer understands [`Frame::Handover`].
    pub takes_handovers: bool,
    /// Whether the peer understands [`Frame::Losses`].
    pub takes_losses: bool,
    /// Whether the peer understands [`Frame::DoubtfulLosses`].
    pub takes_doubtful_losses: bool,
    /// Whether the peer understands [`Frame::Rosters`].
    pub takes_rosters: bool,
    /// Whether the peer understands [`Frame::CancelJob`] and what belongs to it.
    pub takes_cancellations: bool,
    /// Whether this host opened the connection.
    pub dialled: bool,
    /// Whether the peer has sent a heartbeat. Before that, it is unknown whether it dispatches.
    pub has_reported: bool,
    /// Whether the peer can't dispatch yet.
    pub is_starting: bool,
    /// Whether the peer is about to stop.
    pub leaving: bool,
    /// Whether the peer owns upstreams of its own data centre.
    pub dispatches_own_centre: bool,
    /// Whether the peer owns upstreams of any data centre, as far as its release tells.
    pub owns_upstreams: bool,
    /// Whether the peer has jobs in its pool.
    pub has_jobs: bool,
    /// Load that the peer reported last.
    pub load: Load,
    /// Cores of the jobs handed to the peer since it reported `load`.
    pub handed_cores: f64,
    /// Jobs in the pool of this host that the peer submitted, by the call number of the peer.
    pub jobs: BTreeMap<u64, JobKey>,
    /// Time of the last heartbeat sent to the peer.
    pub last_heartbeat: Time,
    /// Period that the last heartbeat announced to the peer: the next one follows within it.
    pub heartbeat_period: Duration,
    /// Time at which a job was last handed to the peer.
    pub last_handover: Option<Time>,
    /// Time since when neither host has needed the link; `None` if one needs it.
    pub unused_since: Option<Time>,
}

impl Peer {
    /// Returns whether the peer owns upstreams.
    pub fn is_dispatcher(&self) -> bool {
        self.dispatches_own_centre || self.owns_upstreams || self.load.cores > 0.0
    }
}

/// Destination of the outcome of a job.
#[derive(Debug)]
pub enum Reply {
    /// A caller that is connected to this host.
    Local(oneshot::Sender<Outcome>),
    /// A peer, with its call number for the job.
    Peer(Host, u64),
}

/// A job that was handed to another dispatcher.
#[derive(Debug)]
pub struct RemoteJob {
    pub id: Id,
    pub host: Host,
    pub reply: oneshot::Sender<Outcome>,
}

impl State {
    /// Returns the state of a host that has just started. A configuration must be in force within
    /// `configuration_time`.
    pub fn new(options: Options, configuration_time: Duration) -> Self {
        State {
            pool: Pool::new(options),
            mirror: Mirror::default(),
            table: None,
            upstreams: BTreeMap::new(),
            missing_upstreams: BTreeMap::new(),
            hosts: BTreeMap::new(),
            own_record_revision: 0,
            peers: BTreeMap::new(),
            replies: BTreeMap::new(),
            remote_jobs: BTreeMap::new(),
            waiting_jobs: WaitingJobs::new(),
            searches: BTreeMap::new(),
            lost_hosts: BTreeMap::new(),
            last_number: 0,
            waiting_callers: 0,
            leaving: false,
            stops_by: None,
            last_event: Time::ZERO,
            catch_up: CatchUp::default(),
            configuration_revision: 0,
            operator_revision: 0,
            evacuated: BTreeMap::new(),
            confirmation: Confirmation::new(configuration_time),
            directory_read: None,
            is_mirror_current: false,
            has_started: false,
            has_assigned_upstreams: false,
            last_store_read: None,
            last_store_failure: None,
            dispatchers: Vec::new(),
            owned_upstreams: 0,
            owners_stale: true,
            roster_holders: BTreeMap::new(),
            unattended_centres: BTreeMap::new(),
        }
    }

    /// Returns the relation to another host, which decides whether the two need a link.
    pub fn link_relation(
        &self,
        own: &HostRecord,
        other: &HostRecord,
        seeds: &[SocketAddr],
    ) -> Relation {
        let peer = self.peers.get(&other.name);
        let has_jobs = |peer: &Peer| !peer.jobs.is_empty() || self.has_remote_job(&other.name);
        Relation {
            same_data_centre: own.data_centre == other.data_centre,
            // A former dispatcher counts until its last job has ended, so that the job can be found.
            dispatches: self.is_dispatcher()
                || self.pool.has_jobs()
                || peer.is_some_and(|peer| peer.is_dispatcher() || peer.has_jobs),
            has_submitted_jobs: peer.is_some_and(has_jobs),
            seed: seeds.contains(&other.peers),
        }
    }

    /// Returns whether a host has a link, or another host has one and listens at its address. A
    /// record of the former is then out of date or wrong.
    pub fn is_reached(&self, host: &HostRecord) -> bool {
        self.peers.contains_key(&host.name)
            || self.peers.values().any(|peer| peer.record.peers == host.peers)
    }

    /// Returns whether a peer holds a job of this host.
    pub fn has_remote_job(&self, host: &Host) -> bool {
        self.remote_jobs.values().any(|job| job.host == *host)
    }

    /// Returns whether this host owns upstreams, in any data centre.
    pub fn is_dispatcher(&self) -> bool {
        self.owned_upstreams > 0
    }

    /// Returns how much of the store this host follows.
    pub fn mirror_scope(&self) -> MirrorScope {
        mirror_scope(self.upstreams.len(), self.has_assigned_upstreams)
    }

    /// Returns how long after its first read of the other hosts this host reads all items.
    pub fn first_full_read_delay(&self, own: &HostRecord) -> Duration {
        let is_larger = |host: &&HostRecord| {
            let by_size = host.cpu_share.total_cmp(&own.cpu_share);
            host.data_centre == own.data_centre
                && by_size.then_with(|| own.name.cmp(&host.name)) == Ordering::Greater
        };
        let rank = self.hosts.values().filter(is_larger).count();
        let data_centres: BTreeSet<_> = self.hosts.values().map(|host| &host.data_centre).collect();
        first_full_read_delay(rank, data_centres.len())
    }

    /// Returns whether the records of upstreams are current, or as current as they can be while the
    /// store does not answer.
    pub fn has_current_records(&self, now: Time) -> bool {
        let is_store_failing =
            self.last_store_failure.is_some_and(|failed| now.since(failed) < MAX_READ_INTERVAL);
        self.is_mirror_current || is_store_failing
    }

    /// Notes whether this host could dispatch by now.
    pub fn update_has_started(&mut self, now: Time) {
        self.has_started |=
            self.table.is_some() && !self.upstreams.is_empty() && self.has_current_records(now);
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }
}
