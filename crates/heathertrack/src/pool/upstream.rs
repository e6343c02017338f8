//! Upstreams as the dispatcher that owns them holds them.

use super::health::Health;
use super::job::Needs;
use super::speed::Speed;
use super::{RunKey, Task};
use crate::clock::Time;
use crate::name;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

slotmap::new_key_type! {
    /// Names an upstream of one dispatcher.
    pub struct UpstreamKey;
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its identifier; one process at a time has it.
    pub name: name::Upstream,
    /// Where it takes orders.
    pub address: String,
    /// The pool that it belongs to.
    pub service: Arc<str>,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// What it has in all.
    pub capacity: Needs,
    /// Its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// Whether it is leaving.
    pub draining: bool,
    /// Unix time of its start in milliseconds, if it says so.
    pub born_ms: Option<u64>,
}

/// A reading of an upstream's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub clock_ms: u64,
    pub at: Time,
}

/// Slowest rate at which an upstream's clock may run against ours (the users' pages: 2% slow).
pub(super) const SLOWEST_CLOCK: f64 = 0.98;
/// Share of an upstream's clock lag that a lease is lengthened by on our clock.
pub(super) const SLOW_CLOCK_MARGIN: f64 = 1.0 / SLOWEST_CLOCK;

/// What is known of runs that this dispatcher didn't start.
#[derive(Clone, Debug, Default)]
pub(super) struct Foreign {
    /// Their tasks and numbers.
    pub runs: Vec<(Task, u32)>,
    /// Since when some are there without this dispatcher prolonging their lease.
    pub since: Option<Time>,
}

/// How far this dispatcher has come in taking an upstream over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tenure {
    /// Somebody else's; runs of before are seen through.
    Released,
    /// Not looked at, or with runs of unknown origin: nothing is started or prolonged.
    Taking,
    /// Orders are given.
    Owned,
}

#[derive(Debug)]
pub(super) struct Upstream {
    pub record: Record,
    pub tenure: Tenure,
    pub clock: Option<Sample>,
    pub born_ms: Option<u64>,
    pub acknowledged: u64,
    /// Listed ends of runs unknown here, and when they were first seen.
    pub strange_ends: BTreeMap<u64, Time>,
    pub runs: Vec<RunKey>,
    pub used: Needs,
    pub foreign: Foreign,
    /// Looks without an answer yet.
    pub looks_out: u32,
    pub look_due: Time,
    /// When everything that runs there has surely lapsed, as far as orders of this dispatcher go.
    pub lapsed: Time,
    /// Failed looks in a row.
    pub misses: u32,
    /// Orders there got no answer since the last answered one.
    pub mute: bool,
    /// Refused for want of room: no more starts until then.
    pub full_until: Time,
    /// An end is listed that isn't acknowledged yet.
    pub owes_acknowledgement: bool,
    pub answered: Time,
    pub health: Health,
    pub speed: Speed,
    /// When its record vanished from the store, if it did.
    pub missing_since: Option<Time>,
}

impl Upstream {
    pub fn new(record: Record, now: Time) -> Self {
        let born_ms = record.born_ms;
        Upstream {
            record,
            tenure: Tenure::Released,
            clock: None,
            born_ms,
            acknowledged: 0,
            strange_ends: BTreeMap::new(),
            runs: Vec::new(),
            used: Needs::default(),
            foreign: Foreign::default(),
            looks_out: 0,
            look_due: now,
            lapsed: now,
            misses: 0,
            mute: false,
            full_until: now,
            owes_acknowledgement: false,
            answered: now,
            health: Health::default(),
            speed: Speed::default(),
            missing_since: None,
        }
    }

    /// Lowest value that the upstream's clock can show now.
    pub fn clock_ms(&self, now: Time) -> Option<u64> {
        let sample = self.clock?;
        let age = now.since(sample.at).as_secs_f64() * 1_000.0 * SLOWEST_CLOCK;
        Some(sample.clock_ms + age as u64)
    }

    /// Takes a reading of its clock.
    pub fn read_clock(&mut self, clock_ms: u64, now: Time) {
        self.clock = Some(Sample { clock_ms, at: now });
        self.answered = now;
        self.mute = false;
        self.misses = 0;
    }

    /// End of a lease that is prolonged now, on the upstream's clock, and notes when it lapses.
    pub fn prolong(&mut self, lease: Duration, now: Time) -> Option<u64> {
        let clock_ms = self.clock_ms(now)?;
        self.lapsed = self.lapsed.max(now + lease.mul_f64(SLOW_CLOCK_MARGIN));
        Some(clock_ms + lease.as_millis() as u64)
    }

    /// What new runs could take.
    pub fn free(&self) -> Needs {
        self.record.capacity.without(&self.used)
    }

    /// Whether orders to start are given here.
    pub fn takes_starts(&self, now: Time) -> bool {
        self.is_usable(now) && now >= self.full_until && self.health.admits(now, self.runs.len())
    }

    /// Whether it counts as capacity.
    pub fn is_usable(&self, now: Time) -> bool {
        self.tenure == Tenure::Owned
            && !self.record.draining
            && !self.mute
            && self.clock.is_some()
            && self.missing_since.is_none()
            && !self.health.is_out(now)
    }

    pub fn has_label(&self, label: &str) -> bool {
        self.record.labels.iter().any(|own| &**own == label)
    }
}
