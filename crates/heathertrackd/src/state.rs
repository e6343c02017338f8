//! State shared by all parts of a daemon.

use crate::claims::Claims;
use crate::clock::Clock;
use crate::dispatch::DispatchService;
use crate::gate::Gate;
use crate::home::Submissions;
use crate::lists::Lists;
use crate::log::Log;
use crate::peers::Peers;
use crate::placement::Placement;
use crate::seats;
use crate::server::RemoteJobs;
use crate::settings::Settings;
use crate::timer::Timer;
use heathertrack::clock::Time;
use heathertrack::membership::{Successions, View};
use heathertrack::ticket::Home;
use heathertrack_wire::host_list::HostList;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Phase of a daemon's shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The daemon takes new work.
    Serving,
    /// The health check fails, but new work is still taken until the load balancer notices.
    Notice,
    /// No new work is taken, and the work in progress is completed.
    Draining,
    /// The records were removed from this process, to be handed to a peer.
    Parted,
}

/// State shared by all parts of a daemon.
#[derive(Debug)]
pub struct State {
    pub settings: Settings,
    pub clock: Clock,
    pub timer: Timer,
    pub log: Log,
    /// Identity of this process.
    pub home: Home,
    pub lists: Lists,
    view: Mutex<View>,
    successions: Mutex<Successions>,
    host_list: Mutex<HostList>,
    pub dispatcher: DispatchService,
    pub gate: Arc<Gate>,
    pub placement: Placement,
    submissions: Mutex<Submissions>,
    pub peers: Peers,
    pub claims: Claims,
    pub remote_jobs: RemoteJobs,
    /// Revision of the seat table seen here, and notice of a newer one.
    pub seats: seats::TableNotice,
    /// Jobs and tasks in progress.
    pub tasks: TaskTracker,
    /// Cancelled to end the background loops.
    pub shutdown: CancellationToken,
    phase: AtomicU8,
    /// 1 once a host list was received, 0 before that.
    hosts_known: AtomicU8,
    /// Wall time at which a host last left the host list, in Unix milliseconds; 0 if none has left.
    host_left_ms: AtomicU64,
}

/// Parts of which a [`State`] is built.
#[derive(Debug)]
pub struct Parts {
    pub settings: Settings,
    pub clock: Clock,
    pub timer: Timer,
    pub log: Log,
    pub home: Home,
    pub view: View,
    pub successions: Successions,
    pub dispatcher: DispatchService,
    pub gate: Arc<Gate>,
    pub placement: Placement,
    pub submissions: Submissions,
    pub claims: Claims,
}

impl State {
    /// Builds the state from its parts.
    pub fn new(parts: Parts) -> Arc<Self> {
        Arc::new(State {
            settings: parts.settings,
            clock: parts.clock,
            timer: parts.timer,
            log: parts.log,
            home: parts.home,
            lists: Lists::default(),
            view: Mutex::new(parts.view),
            successions: Mutex::new(parts.successions),
            host_list: Mutex::default(),
            dispatcher: parts.dispatcher,
            gate: parts.gate,
            placement: parts.placement,
            submissions: Mutex::new(parts.submissions),
            peers: Peers::default(),
            claims: parts.claims,
            remote_jobs: RemoteJobs::default(),
            seats: seats::TableNotice::default(),
            tasks: TaskTracker::new(),
            shutdown: CancellationToken::new(),
            phase: AtomicU8::new(Phase::Serving as u8),
            hosts_known: AtomicU8::new(0),
            host_left_ms: AtomicU64::new(0),
        })
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Locks the membership view.
    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Locks the successions, which tell which process took over from which.
    pub fn successions(&self) -> MutexGuard<'_, Successions> {
        lock(&self.successions)
    }

    /// Locks the registry that accepts submissions.
    pub fn submissions(&self) -> MutexGuard<'_, Submissions> {
        lock(&self.submissions)
    }

    /// Locks the newest host list seen.
    pub fn host_list(&self) -> MutexGuard<'_, HostList> {
        lock(&self.host_list)
    }

    /// Returns the phase of the shutdown.
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Serving,
            1 => Phase::Notice,
            2 => Phase::Draining,
            _ => Phase::Parted,
        }
    }

    /// Advances to a phase, unless this or a later one was entered.
    pub fn enter_phase(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Records that a host list was received.
    pub fn mark_hosts_known(&self) {
        self.hosts_known.store(1, Ordering::Release);
    }

    /// Records that a host left the host list now.
    pub fn record_host_left(&self) {
        self.host_left_ms.store(self.clock.wall_ms(), Ordering::Release);
    }

    /// Returns whether a host left the host list since a wall time in Unix milliseconds.
    pub fn hosts_left_since(&self, wall_ms: u64) -> bool {
        self.host_left_ms.load(Ordering::Acquire) >= wall_ms
    }

    /// Returns whether the load balancer should send callers here: the lists and hosts are known,
    /// and the daemon is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
            && self.hosts_known.load(Ordering::Acquire) == 1
            && self.lists.are_known()
    }
}

/// Locks a mutex and ignores poisoning, as no critical section leaves its value inconsistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
