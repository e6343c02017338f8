//! Upstreams as a dispatcher tracks them.

use super::health::Health;
use super::job::{Id, Needs, Step};
use super::speed::Speed;
use super::{Listing, LossCause, Renewal, RunKey, Task};
use crate::clock::Time;
use crate::name;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

slotmap::new_key_type! {
    /// Key of an upstream within one dispatcher.
    pub struct UpstreamKey;
}

/// An upstream's description of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Identifier, held by one process at a time.
    pub name: name::Upstream,
    /// Address at which it receives orders.
    pub address: String,
    /// Service whose jobs it runs.
    pub service: Arc<str>,
    /// Data centre.
    pub data_centre: name::DataCentre,
    /// Total resources.
    pub capacity: Needs,
    /// Labels, such as its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// Whether it is draining and takes no new runs.
    pub draining: bool,
    /// Unix time of its process's start in milliseconds, if given.
    pub started_ms: Option<u64>,
}

/// A reading of an upstream's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockSample {
    pub clock_ms: u64,
    pub at: Time,
}

/// Lowest rate of an upstream's clock relative to the dispatcher's: the platform allows 2% slow.
pub(super) const MIN_CLOCK_RATE: f64 = 0.98;
/// Factor by which a lease lasts longer on the dispatcher's clock if the upstream's runs slowest.
pub(super) const SLOW_CLOCK_FACTOR: f64 = 1.0 / MIN_CLOCK_RATE;

/// Longest lease that an upstream grants (`hold_max_ms`). A process that has replaced the known one
/// shortens the lease of an order to this, as its clock starts anew and the order's end of the lease is
/// a time of the former clock.
const MAX_LEASE: Duration = Duration::from_millis(1_000);

/// Least time from the last answer of a process until another one can take orders in its place: an
/// upstream that crashed is back after some seconds.
const MIN_RESTART_TIME: Duration = Duration::from_secs(1);

/// Longest time until a change of an upstream's capacity is known from its record, which it writes
/// every 1.5 s and dispatchers read about once a second.
const RECORD_DELAY: Duration = Duration::from_millis(2_500);

/// Runs on an upstream that this dispatcher did not start.
#[derive(Clone, Debug, Default)]
pub(super) struct ForeignRuns {
    /// Tasks and run numbers.
    pub runs: Vec<(Task, u32)>,
    /// Whether some of them are strays: no live host is known to follow them. A renewal covers all
    /// runs of an upstream, so with strays there is none, and they expire unless their host lives.
    pub has_strays: bool,
    /// When the upstream first listed its runs after this dispatcher began to acquire it. From then
    /// on, this dispatcher renews no lease there until it owns the upstream.
    pub listed_since: Option<Time>,
    /// Runs of live dispatchers of an earlier release, which hand an upstream over without a roster.
    pub inherited: BTreeSet<(Task, u32)>,
    /// Until when listed runs are taken for those of the dispatcher that handed the upstream over.
    pub inherits_until: Time,
}

/// Ownership of an upstream by this dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ownership {
    /// Not owned; runs that are left are followed to their end.
    Released,
    /// Not polled yet, or with strays: nothing is started and no lease is renewed.
    Acquiring,
    /// Owned: runs are started and their lease is renewed.
    Owned,
}

/// Returns when a lease has expired for certain that a process has granted by `now`, whatever end of it
/// was asked for.
pub(super) fn max_lease_expiry(now: Time) -> Time {
    now + MAX_LEASE.mul_f64(SLOW_CLOCK_FACTOR)
}

#[derive(Debug)]
pub(super) struct Upstream {
    pub record: Record,
    pub ownership: Ownership,
    /// Last reading of the upstream's clock.
    pub clock: Option<ClockSample>,
    /// Unix time in milliseconds at which the process that last answered started; before the first
    /// answer, that of the record.
    pub started_ms: Option<u64>,
    /// When its record first gave the current address.
    pub address_since: Time,
    /// When the process that answered last first listed its runs at the current address, if it has.
    pub known_since: Option<Time>,
    /// Whether its record states a later start than that of the process that answered last.
    pub restart_announced: bool,
    /// Sequence number up to which listed ends have been handled.
    pub acknowledged: u64,
    /// Listed ends that are not acknowledged yet, by sequence number. The value is the time at
    /// which the end of an unknown run was first listed, and [`Time::ZERO`] for the end of a run of
    /// this dispatcher, which may be acknowledged at once.
    pub unacknowledged_ends: BTreeMap<u64, Time>,
    /// Resources that it is assumed to have: those of its record, or less after it refused a start.
    pub capacity: Needs,
    /// Until when it is assumed to have less than its record says; the record may be older than a
    /// change of its capacity.
    pub shrunk_until: Option<Time>,
    /// Runs that this dispatcher started and that are not known to have ended.
    pub runs: Vec<RunKey>,
    /// Resources that these runs hold.
    pub used: Needs,
    /// Number of these runs that are left to the expiry of the lease, so that nothing may renew it
    /// meanwhile.
    pub expiring_runs: usize,
    /// Suspect task that is to run here alone, or does so.
    pub isolated_for: Option<Task>,
    pub foreign: ForeignRuns,
    /// Number of polls in flight.
    pub polls_in_flight: u32,
    /// Earliest time of the next poll.
    pub poll_due: Time,
    /// When the lease that this dispatcher renewed has expired for certain, on its own clock.
    pub lease_expiry: Time,
    /// When the last lease has expired that a former owner may have granted before it learned that the
    /// upstream has passed to this dispatcher.
    pub former_owner_until: Time,
    /// Whether this dispatcher has released the upstream with runs, and so given a roster of them away:
    /// its holder may go on renewing after the upstream is back.
    pub has_shared_runs: bool,
    /// What the last poll's renewal or lack of one rested on.
    pub renewal: Renewal,
    /// Number of failed polls in a row.
    pub failed_polls: u32,
    /// When an order or a poll first failed since the last answer, if one has.
    pub unresponsive_since: Option<Time>,
    /// When an order or a poll last got no answer.
    pub silent_at: Time,
    /// When its process stopped responding, unless the same process has been polled since.
    pub stopped_at: Option<Time>,
    /// Jobs that had runs here then.
    pub stopped_jobs: BTreeSet<Id>,
    /// When runs were last lost with it, if since it last answered a poll.
    pub lost_runs_at: Option<Time>,
    /// Whether the last poll was refused a connection.
    pub refuses_connections: bool,
    /// Instant until which no runs are started, after the upstream refused one.
    pub no_starts_until: Time,
    /// Whether the last list contained ends, which have to be acknowledged, and no order or poll has
    /// failed since.
    pub has_ends_to_acknowledge: bool,
    /// When it last answered.
    pub last_answer: Time,
    /// When its last list was received.
    pub listed_at: Option<Time>,
    /// Process and clock, in milliseconds, of the newest list.
    pub newest_list: (u64, u64),
    pub health: Health,
    pub speed: Speed,
    /// When its record was found missing from the store, if it is.
    pub missing_since: Option<Time>,
    /// Whether the operators have evacuated its data centre.
    pub is_evacuated: bool,
}

impl Upstream {
    pub fn new(record: Record, now: Time) -> Self {
        let (started_ms, capacity) = (record.started_ms, record.capacity);
        Upstream {
            record,
            ownership: Ownership::Released,
            clock: None,
            started_ms,
            address_since: now,
            known_since: None,
            restart_announced: false,
            acknowledged: 0,
            unacknowledged_ends: BTreeMap::new(),
            capacity,
            shrunk_until: None,
            runs: Vec::new(),
            used: Needs::default(),
            expiring_runs: 0,
            isolated_for: None,
            foreign: ForeignRuns::default(),
            polls_in_flight: 0,
            poll_due: now,
            lease_expiry: now,
            former_owner_until: Time::ZERO,
            has_shared_runs: false,
            renewal: Renewal::default(),
            failed_polls: 0,
            unresponsive_since: None,
            silent_at: Time::ZERO,
            stopped_at: None,
            stopped_jobs: BTreeSet::new(),
            lost_runs_at: None,
            refuses_connections: false,
            no_starts_until: now,
            has_ends_to_acknowledge: false,
            last_answer: now,
            listed_at: None,
            newest_list: (0, 0),
            health: Health::default(),
            speed: Speed::default(),
            missing_since: None,
            is_evacuated: false,
        }
    }

    /// Returns the lowest value that the upstream's clock can show now.
    pub fn min_clock_ms(&self, now: Time) -> Option<u64> {
        let sample = self.clock?;
        let age = now.since(sample.at).as_secs_f64() * 1_000.0 * MIN_CLOCK_RATE;
        Some(sample.clock_ms + age as u64)
    }

    /// Records a reading of the upstream's clock, and thereby an answer from it.
    pub fn record_clock(&mut self, clock_ms: u64, now: Time) {
        self.clock = Some(ClockSample { clock_ms, at: now });
        self.last_answer = now;
        self.unresponsive_since = None;
        self.refuses_connections = false;
        self.failed_polls = 0;
    }

    /// Returns whether no list of the same process has shown a later time, and records this one.
    pub fn is_newest_list(&mut self, listing: &Listing) -> bool {
        let is_newest =
            listing.started_ms != self.newest_list.0 || listing.clock_ms >= self.newest_list.1;
        if is_newest {
            self.newest_list = (listing.started_ms, listing.clock_ms);
        }
        is_newest
    }

    /// Returns whether a list, the answer to a poll that was sent at `sent`, may be of another process
    /// that has ended before the known one started.
    pub fn is_of_former_process(&self, listing: &Listing, sent: Time) -> bool {
        self.started_ms != Some(listing.started_ms)
            && self.known_since.is_some_and(|since| sent < since)
    }

    /// Notes which process has listed its runs, in the answer to a poll that was sent at `sent`. Returns
    /// whether it is another one than before.
    pub fn record_process(&mut self, started_ms: u64, sent: Time, now: Time) -> bool {
        let has_changed = self.started_ms.is_some_and(|known| known != started_ms);
        if sent >= self.address_since && (has_changed || self.known_since.is_none()) {
            self.known_since = Some(now);
        }
        self.started_ms = Some(started_ms);
        self.restart_announced = false;
        has_changed
    }

    /// Returns whether another process may have taken the place of the known one unnoticed.
    pub fn may_have_restarted(&self, now: Time) -> bool {
        self.restart_announced || now.since(self.last_answer) > MIN_RESTART_TIME
    }

    /// Handles an answer by another process than the known one to an order that renewed the lease.
    pub fn on_other_process(&mut self, now: Time) {
        self.lease_expiry = self.lease_expiry.max(max_lease_expiry(now));
        self.has_ends_to_acknowledge = false;
    }

    /// Returns up to which sequence number the next poll acknowledges ends; zero unless the last answer
    /// listed some. The process may have been replaced since, and a new one counts its ends from the
    /// start.
    pub fn acknowledgement(&self) -> u64 {
        if self.has_ends_to_acknowledge { self.acknowledged } else { 0 }
    }

    /// Returns what is known of the process with which the runs here were lost, as another one has
    /// answered. The process may have ended after the lease of the runs.
    pub fn replacement_cause(&self, now: Time) -> LossCause {
        if self.record.draining {
            LossCause::Left
        } else if now <= self.lease_expiry {
            LossCause::Replaced
        } else {
            LossCause::Unresponsive
        }
    }

    /// Returns what is known of the process with which the runs here were lost, if it has not been
    /// replaced.
    pub fn loss_cause(&self) -> LossCause {
        if self.record.draining {
            LossCause::Left
        } else if self.refuses_connections {
            LossCause::Refused
        } else if self.missing_since.is_some() {
            LossCause::RecordRemoved
        } else {
            LossCause::Unresponsive
        }
    }

    /// Records a renewal of the lease and returns its end on the upstream's clock, in milliseconds;
    /// `None` without a reading of that clock.
    pub fn renew_lease(&mut self, lease: Duration, now: Time) -> Option<u64> {
        let clock_ms = self.min_clock_ms(now)?;
        self.lease_expiry = self.lease_expiry.max(now + lease.mul_f64(SLOW_CLOCK_FACTOR));
        Some(clock_ms + lease.as_millis() as u64)
    }

    /// Returns the free capacity.
    pub fn free(&self) -> Needs {
        self.capacity.without(&self.used)
    }

    /// Returns whether a record gives another address, but no later start, than the process that has
    /// answered at the known one. A process keeps its address and states its start, so another writer
    /// left the record; orders sent there would be answered as if the process were gone.
    pub fn is_contradicted_by(&self, record: &Record) -> bool {
        self.clock.is_some()
            && record.started_ms <= self.started_ms
            && record.address != self.record.address
    }

    /// Replaces the record. A change of its capacity overrides what was assumed of it.
    pub fn set_record(&mut self, record: Record, now: Time) {
        if record.address != self.record.address {
            self.address_since = now;
            self.known_since = None;
        }
        if record.capacity != self.record.capacity {
            self.capacity = record.capacity;
            self.shrunk_until = None;
        }
        self.record = record;
    }

    /// Records that a start was refused for want of capacity: it has no more than what its runs
    /// hold, until its next record can be expected to be known.
    ///
    /// Addresses the load pattern "the capacity of upstreams shrinks while they run": each further
    /// start that is refused would delay its task.
    pub fn assume_full(&mut self, now: Time) {
        self.capacity = self.used;
        self.shrunk_until = Some(now + RECORD_DELAY);
    }

    /// Returns to the capacity of the record once a change of it would be known.
    pub fn restore_capacity(&mut self, now: Time) {
        if self.shrunk_until.is_some_and(|until| now >= until) {
            self.capacity = self.record.capacity;
            self.shrunk_until = None;
        }
    }

    /// Returns whether runs may be started here now. A start renews the lease of all runs here.
    pub fn accepts_starts(&self, now: Time) -> bool {
        self.is_usable(now)
            && self.expiring_runs == 0
            && self.isolated_for.is_none()
            && now >= self.no_starts_until
            && self.health.admits(now, self.runs.len())
    }

    /// Returns whether the upstream counts towards the dispatcher's capacity, even if it is full or
    /// refused a start a moment ago.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.is_evacuated && self.is_sound(now)
    }

    /// Returns whether the upstream itself could take starts, even in an evacuated data centre.
    pub fn is_sound(&self, now: Time) -> bool {
        self.ownership == Ownership::Owned
            && !self.record.draining
            && self.unresponsive_since.is_none()
            && self.clock.is_some()
            && self.missing_since.is_none()
            && !self.health.is_ejected(now)
    }

    /// Returns whether nothing runs here, as far as known.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.foreign.runs.is_empty()
    }

    /// Returns whether a task of a step could run here if nothing else did.
    pub fn can_hold(&self, service: &str, step: &Step) -> bool {
        *self.record.service == *service
            && step.needs.fits(&self.record.capacity)
            && step.label.as_ref().is_none_or(|label| self.has_label(label))
    }

    pub fn has_label(&self, label: &str) -> bool {
        self.record.labels.iter().any(|own| &**own == label)
    }
}
