//! Cancelling of jobs that callers cancel at any host: the job is looked for at all hosts that may
//! hold it.

use super::boot_clock::Clock;
use super::event_log::EventLog;
use super::frame::{CancelledWire, Frame, HoldingWire, MAX_CANCELLED_JOBS, cancelled_id};
use super::node::{EntryHost, Environment};
use super::state::{RemoteJob, State};
use heathertrack::clock::Time;
use heathertrack::name::Host;
use heathertrack::pool::job::{Id, Outcome};
use heathertrack::pool::search::{Holding, Search, Verdict};
use heathertrack_platform::HostRecord;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Longest time of a search. Hosts answer within milliseconds; one that is unresponsive is noticed
/// after a third of it, and the record of one that has stopped is gone within it.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Share of the caller's time that a search may take, so that the answer arrives in time.
const SEARCH_SHARE: f64 = 0.8;
/// Pause after which hosts without a clear answer are asked again: a new link, or a lease that
/// expires, may change it.
const REPEAT_PERIOD: Duration = Duration::from_millis(200);
/// Number of a search whose answers are discarded.
const NO_SEARCH: u64 = 0;
/// Maximum number of searches in progress.
const MAX_SEARCHES: usize = 256;
/// Time after the loss of a host during which it may still run jobs of its own callers, who wait
/// about as long at most.
const LOST_HOST_TIME: Duration = Duration::from_secs(30);

/// Result of cancelling a job.
#[derive(Debug)]
pub(super) enum Cancelling {
    /// The hosts gave a result.
    Decided(Verdict),
    /// These hosts may hold the job and gave no clear answer in time.
    Undecided(Vec<Host>),
    /// The search was not begun: too many are in progress, or the other hosts are not known for
    /// certain.
    Refused(&'static str),
}

/// Callers' jobs that this host is running, each with a number that tells submissions of one
/// identifier apart.
pub type WaitingJobs = BTreeMap<(Id, u64), Rc<Notify>>;

/// A caller's job that this host is running; dropped when it ends.
pub(super) struct WaitingJob<E: Environment> {
    entry: Rc<EntryHost<E>>,
    key: (Id, u64),
    /// Notified when the job is cancelled.
    pub cancelled: Rc<Notify>,
}

impl<E: Environment> WaitingJob<E> {
    pub fn new(entry: &Rc<EntryHost<E>>, id: &Id) -> Self {
        let mut state = entry.state.borrow_mut();
        state.last_number += 1;
        let key = (id.clone(), state.last_number);
        let cancelled = Rc::new(Notify::new());
        state.waiting_jobs.insert(key.clone(), cancelled.clone());
        WaitingJob { entry: entry.clone(), key, cancelled }
    }
}

impl<E: Environment> Drop for WaitingJob<E> {
    fn drop(&mut self) {
        self.entry.state.borrow_mut().waiting_jobs.remove(&self.key);
    }
}

/// A search in progress; dropped when it ends.
struct RunningSearch<E: Environment> {
    entry: Rc<EntryHost<E>>,
    number: u64,
}

impl<E: Environment> RunningSearch<E> {
    /// Returns `None` if too many searches are in progress.
    fn new(entry: &Rc<EntryHost<E>>) -> Option<Self> {
        let mut state = entry.state.borrow_mut();
        if state.searches.len() >= MAX_SEARCHES {
            return None;
        }
        state.last_number += 1;
        let number = state.last_number;
        state.searches.insert(number, Search::default());
        Some(RunningSearch { entry: entry.clone(), number })
    }

    fn record(&self, host: Host, holding: Holding) {
        if let Some(search) = self.entry.state.borrow_mut().searches.get_mut(&self.number) {
            search.record(host, holding);
        }
    }
}

impl<E: Environment> Drop for RunningSearch<E> {
    fn drop(&mut self) {
        self.entry.state.borrow_mut().searches.remove(&self.number);
    }
}

impl<E: Environment> EntryHost<E> {
    /// Cancels a job, wherever it is. `caller_timeout` is the time that the caller waits for the
    /// answer.
    pub(super) async fn cancel_job(
        self: &Rc<Self>,
        id: &Id,
        caller_timeout: Duration,
    ) -> Cancelling {
        let wait = SEARCH_TIMEOUT.min(caller_timeout.mul_f64(SEARCH_SHARE));
        let deadline = Instant::now() + wait;
        let Some(search) = RunningSearch::new(self) else {
            return Cancelling::Refused("too many jobs are being cancelled");
        };
        loop {
            let answered = self.search_answered.notified();
            search.record(self.record.name.clone(), self.cancel_own(id));
            let repeat_at = Instant::now() + REPEAT_PERIOD;
            self.ask_undecided(search.number, id);
            let mut answered = std::pin::pin!(answered);
            loop {
                if let Some(verdict) = self.search_verdict(search.number) {
                    return Cancelling::Decided(verdict);
                }
                if timeout_at(repeat_at.min(deadline), answered.as_mut()).await.is_err() {
                    break;
                }
                answered.set(self.search_answered.notified());
            }
            if Instant::now() >= deadline {
                let now = self.now();
                let state = self.state.borrow();
                if !self.knows_other_hosts(&state, now) {
                    return Cancelling::Refused("the other hosts are not known for certain");
                }
                let may_hold = state.may_hold_jobs(&self.record, &self.seeds.borrow(), now);
                let search = state.searches.get(&search.number);
                let undecided = search.map(|search| search.undecided(&may_hold));
                return Cancelling::Undecided(undecided.into_iter().flatten().cloned().collect());
            }
        }
    }

    /// Cancels a job on this host: in its pool, and if one of its callers waits for it.
    fn cancel_own(self: &Rc<Self>, id: &Id) -> Holding {
        let holding = self.with_pool(|pool, now| pool.cancel_by_id(id, now));
        let has_waiting = self.cancel_waiting(id);
        if has_waiting && holding == Holding::Absent { Holding::Held } else { holding }
    }

    /// Asks the linked hosts that have not answered clearly to cancel a job.
    fn ask_undecided(self: &Rc<Self>, number: u64, id: &Id) {
        let now = self.now();
        let state = self.state.borrow();
        let Some(search) = state.searches.get(&number) else { return };
        let may_hold = state.may_hold_jobs(&self.record, &self.seeds.borrow(), now);
        for host in search.undecided(&may_hold) {
            let Some(peer) = state.peers.get(host).filter(|peer| peer.takes_cancellations) else {
                continue;
            };
            let frame = Frame::CancelJob { search: number, id: id.to_string() };
            if peer.outbox.send(frame).is_err() {
                self.event_log.link_full(host);
            }
        }
    }

    /// Returns the result of a search, if it has one. Without knowledge of the other hosts only a
    /// job that was found is a result.
    fn search_verdict(self: &Rc<Self>, number: u64) -> Option<Verdict> {
        let now = self.now();
        let state = self.state.borrow();
        let may_hold = state.may_hold_jobs(&self.record, &self.seeds.borrow(), now);
        let verdict = state.searches.get(&number)?.verdict(&may_hold)?;
        let is_proved = verdict == Verdict::Cancelled || self.knows_other_hosts(&state, now);
        is_proved.then_some(verdict)
    }

    /// Returns whether this host knows all others that may hold jobs. One that started after the record
    /// of this host had expired, while the store turned this host away, may have no link to it.
    fn knows_other_hosts(&self, state: &State, now: Time) -> bool {
        state.directory_read.is_some() && now < self.record_expiry.get()
    }

    /// Cancels a job for a peer.
    pub(super) fn handle_cancel_job(self: &Rc<Self>, host: &Host, search: u64, id: &str) {
        let holding = cancelled_id(id).map_or(Holding::Unknown, |id| self.cancel_own(&id));
        self.send_to(host, Frame::CancelAnswer { search, holding: holding.into() });
    }

    /// Records a peer's answer. One to a search that has ended is discarded.
    pub(super) fn handle_cancel_answer(&self, host: &Host, search: u64, holding: HoldingWire) {
        if let Some(search) = self.state.borrow_mut().searches.get_mut(&search) {
            search.record(host.clone(), holding.into());
        }
        self.search_answered.notify_waiters();
    }

    /// Cancels jobs that were cancelled before this host had a link to the sender.
    pub(super) fn handle_cancelled(self: &Rc<Self>, jobs: &[CancelledWire]) {
        let valid = jobs.iter().take(MAX_CANCELLED_JOBS).filter_map(CancelledWire::job);
        for (id, remaining) in valid {
            self.with_pool(|pool, now| pool.on_cancellation(&id, remaining, now));
            self.cancel_waiting(&id);
        }
    }

    /// Returns the messages that tell a host with a new link of the jobs that were cancelled.
    pub(super) fn cancelled_frames(&self) -> Vec<Frame> {
        let now = self.environment.clock().now();
        let jobs = self.state.borrow().pool.remembered_cancellations(now);
        let wire = |(id, remaining): &(Id, Duration)| CancelledWire::new(id, *remaining);
        let frame =
            |jobs: &[(Id, Duration)]| Frame::Cancelled { jobs: jobs.iter().map(wire).collect() };
        jobs.chunks(MAX_CANCELLED_JOBS).map(frame).collect()
    }
}

impl<E: Environment> EntryHost<E> {
    /// Ends a job of callers that wait on this host, also at the dispatcher to which it was handed.
    /// Returns whether there was one.
    fn cancel_waiting(&self, id: &Id) -> bool {
        let mut state = self.state.borrow_mut();
        let is_it = |(number, job): (&u64, &RemoteJob)| (job.id == *id).then_some(*number);
        let calls: Vec<u64> = state.remote_jobs.iter().filter_map(is_it).collect();
        for call in calls {
            state.cancel_remote(call, &self.event_log);
        }
        let mut found = false;
        let first = (id.clone(), 0);
        for (_, cancelled) in state.waiting_jobs.range(first..).take_while(|(key, _)| key.0 == *id)
        {
            cancelled.notify_one();
            found = true;
        }
        found
    }
}

impl State {
    /// Cancels a job at the dispatcher to which it was handed, which reports its outcome. One of an
    /// earlier release reports none.
    fn cancel_remote(&mut self, call: u64, event_log: &EventLog) {
        let Some(job) = self.remote_jobs.get(&call) else { return };
        let Some(peer) = self.peers.get(&job.host) else { return };
        let takes_cancellations = peer.takes_cancellations;
        let frame = if takes_cancellations {
            Frame::CancelJob { search: NO_SEARCH, id: job.id.to_string() }
        } else {
            Frame::Cancel { call }
        };
        if peer.outbox.send(frame).is_err() {
            event_log.link_full(&job.host);
        }
        if !takes_cancellations && let Some(job) = self.remote_jobs.remove(&call) {
            // The caller may have disconnected; then the outcome is discarded.
            let _ = job.reply.send(Outcome::Cancelled);
        }
    }

    /// Returns the hosts that may hold any job: this one, its peers, hosts to which a needed link is
    /// missing, and hosts that were lost a short time ago.
    ///
    /// Hosts to which no link is needed run no jobs. What their callers submit meets a dispatcher
    /// that remembers the cancelling.
    fn may_hold_jobs(&self, own: &HostRecord, seeds: &[SocketAddr], now: Time) -> BTreeSet<Host> {
        let is_linked_or_needed = |host: &&HostRecord| {
            self.peers.contains_key(&host.name)
                || self.link_relation(own, host, seeds).needs_link(self.hosts.len())
        };
        let known = self.hosts.values().filter(is_linked_or_needed).map(|host| &host.name);
        let lost = self.lost_hosts.iter().filter(|(_, at)| now.since(**at) < LOST_HOST_TIME);
        let hosts = known.chain(self.peers.keys()).chain(lost.map(|(host, _)| host));
        hosts.chain([&own.name]).cloned().collect()
    }

    /// Notes that the link to a host was lost although it has not stopped as planned.
    pub fn note_lost_host(&mut self, host: &Host, now: Time) {
        self.lost_hosts.retain(|_, at| now.since(*at) < LOST_HOST_TIME);
        self.lost_hosts.insert(host.clone(), now);
    }
}
