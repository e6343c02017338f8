//! What the parts of one daemon share.

use crate::claims::Claims;
use crate::clock::Clock;
use crate::dispatch::Service;
use crate::gate::Gate;
use crate::home::Records;
use crate::lists::Lists;
use crate::log::Log;
use crate::peers::Peers;
use crate::placement::Placement;
use crate::seats;
use crate::server::Remotes;
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

/// How far a daemon is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It takes new work.
    Serving,
    /// Its health check fails; it still takes new work, until the balancer has noticed.
    Notice,
    /// It takes no new work and ends what it has.
    Draining,
    /// Its records are with a peer, or gone.
    Parted,
}

/// The state shared by all parts of one daemon.
#[derive(Debug)]
pub struct State {
    pub settings: Settings,
    pub clock: Clock,
    pub timer: Timer,
    pub log: Log,
    /// This process.
    pub home: Home,
    pub lists: Lists,
    view: Mutex<View>,
    successions: Mutex<Successions>,
    listed: Mutex<HostList>,
    pub dispatcher: Service,
    pub gate: Arc<Gate>,
    pub placement: Placement,
    desk: Mutex<Records>,
    pub peers: Peers,
    pub claims: Claims,
    pub remotes: Remotes,
    /// Which table of seats was seen here, and that a newer one exists.
    pub seats: seats::Notice,
    /// Jobs and tasks in progress.
    pub work: TaskTracker,
    /// Ends the loops.
    pub ended: CancellationToken,
    phase: AtomicU8,
    hosts_known: AtomicU8,
    /// Wall time at which a host was last seen to leave the list, in Unix milliseconds.
    host_left_ms: AtomicU64,
}

/// What a [`State`] is made of.
#[derive(Debug)]
pub struct Parts {
    pub settings: Settings,
    pub clock: Clock,
    pub timer: Timer,
    pub log: Log,
    pub home: Home,
    pub view: View,
    pub successions: Successions,
    pub dispatcher: Service,
    pub gate: Arc<Gate>,
    pub placement: Placement,
    pub desk: Records,
    pub claims: Claims,
}

impl State {
    /// Puts the parts together.
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
            listed: Mutex::default(),
            dispatcher: parts.dispatcher,
            gate: parts.gate,
            placement: parts.placement,
            desk: Mutex::new(parts.desk),
            peers: Peers::default(),
            claims: parts.claims,
            remotes: Remotes::default(),
            seats: seats::Notice::default(),
            work: TaskTracker::new(),
            ended: CancellationToken::new(),
            phase: AtomicU8::new(Phase::Serving as u8),
            hosts_known: AtomicU8::new(0),
            host_left_ms: AtomicU64::new(0),
        })
    }

    /// Monotonic time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The view of the hosts.
    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Who took over from whom.
    pub fn successions(&self) -> MutexGuard<'_, Successions> {
        lock(&self.successions)
    }

    /// The desk that takes submissions.
    pub fn desk(&self) -> MutexGuard<'_, Records> {
        lock(&self.desk)
    }

    /// The newest host list seen.
    pub fn listed(&self) -> MutexGuard<'_, HostList> {
        lock(&self.listed)
    }

    /// How far this process is on its way to its end.
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Serving,
            1 => Phase::Notice,
            2 => Phase::Draining,
            _ => Phase::Parted,
        }
    }

    /// Moves on to a later phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Notes that the host list was seen.
    pub fn know_hosts(&self) {
        self.hosts_known.store(1, Ordering::Release);
    }

    /// Notes that a host has left the list.
    pub fn note_host_left(&self) {
        self.host_left_ms.store(self.clock.wall_ms(), Ordering::Release);
    }

    /// Whether a host has left the list since a wall time.
    pub fn hosts_left_since(&self, wall_ms: u64) -> bool {
        self.host_left_ms.load(Ordering::Acquire) >= wall_ms
    }

    /// Whether callers may be sent here: lists and hosts are known, and it does not stop.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
            && self.hosts_known.load(Ordering::Acquire) == 1
            && self.lists.are_known()
    }
}

/// Locks a mutex. A poisoned one is used on: each critical section leaves its value whole.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
