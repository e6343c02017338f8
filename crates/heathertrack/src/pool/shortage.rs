//! Which jobs are taken while more work arrives than can be started.
//!
//! Addresses the load pattern "all kinds of requests come at several times their usual rate for many
//! seconds": without it, the queue grows until each job in it starts just before it becomes late, so
//! that most end late, and the kinds with the shortest objectives lose most.
//!
//! Of each kind, the same share of the work that arrives is taken: what can be started over what
//! arrives. What is taken then starts at once. A job that fits into what is free is always taken:
//! nothing that is queued can use that capacity.

use crate::clock::Time;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time for which jobs have to be queued without a pause before any is turned away for want of room:
/// where less arrives than can be started, a queue is soon empty again.
const MIN_QUEUED_TIME: Duration = Duration::from_millis(100);
/// Multiple of what can be started from which on what arrives is shared. Below it a queue by priority
/// and due time earns callers more, as it favours small jobs; beyond it, nearly all in it end late.
const MIN_EXCESS_RATIO: f64 = 2.0;
/// Time over which rates are averaged, and over which the queue is brought to its target: shorter than
/// the objectives of most jobs, longer than most runs.
const HORIZON: Duration = Duration::from_millis(250);
/// Time for which jobs have to be queued without a pause before the rate of starts is taken for what
/// can be started: its average must not hold the time before.
const MIN_MEASURED_TIME: Duration = Duration::from_secs(1);
/// Queued work that keeps the upstreams busy, as the time in which they do it: the tasks of one job of
/// each kind or so, and well below the shortest acceptable wait (some 60 ms).
const TARGET_QUEUE: Duration = Duration::from_millis(20);
/// Share of an upstream's cores that tasks of uneven size can use, as long as no rate is measured: two
/// tasks of 6.8 cores take 0.85 of 16 cores.
const USABLE_SHARE: f64 = 0.85;
/// Least share of the nominal rate that a measured one is believed to be: right after upstreams were
/// lost or a burst began, little has been started yet.
const MIN_MEASURED_SHARE: f64 = 0.4;
/// Bound of a kind's account, in jobs of its mean size: what is owed to a kind doesn't pile up while
/// none of its jobs come.
const MAX_ACCOUNT: f64 = 4.0;
/// Weight of one job in the mean work of its kind.
const WORK_WEIGHT: f64 = 0.05;
/// Maximum number of kinds with an account; others are taken like a kind that is owed nothing.
const MAX_KINDS: usize = 1_000;

/// Number of upstreams for each core of a dispatcher from which on it has no processor time to spare for
/// a queue: half of those that it can own at the peak of the usual load (`pool/ownership.rs`).
const BUSY_UPSTREAMS_PER_CORE: f64 = 120.0;

/// Returns the number of upstreams from which on a dispatcher with this share of a core shares a
/// shortage. With fewer, it can work a queue off by priority, which favours urgent and small jobs.
pub fn min_upstreams(cpu_share: f64) -> usize {
    (cpu_share * BUSY_UPSTREAMS_PER_CORE).ceil() as usize
}

/// Capacity of a dispatcher, and the work that waits for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// Cores of the usable upstreams, weighted by speed.
    pub cores: f64,
    /// Core-seconds of queued tasks.
    pub queued: f64,
    /// Whether the upstreams have enough free for all tasks of the job at once.
    pub fits_now: bool,
}

/// A job that arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Kind of request.
    pub class: &'a Arc<str>,
    /// Core-seconds of its tasks.
    pub work: f64,
}

/// Accounts of what arrives and what is taken.
#[derive(Debug, Default)]
pub struct Shortage {
    /// Work that arrives.
    offered: Rate,
    /// Work that is started.
    started: Rate,
    /// Since when jobs have been queued without a pause.
    queued_since: Option<Time>,
    accounts: BTreeMap<Arc<str>, Account>,
    /// Share of the work that was not taken at the last arrival; 0 without a shortage.
    excess: f64,
}

/// What a kind of request is owed.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// Core-seconds that it is owed.
    balance: f64,
    /// Mean work of its jobs, in core-seconds.
    mean_work: f64,
}

impl Shortage {
    /// Returns whether a job that arrives is taken.
    pub fn admits(&mut self, arrival: Arrival<'_>, room: Room, now: Time) -> bool {
        self.offered.add(arrival.work, HORIZON, now);
        if room.queued <= f64::EPSILON {
            self.queued_since = None;
        } else {
            self.queued_since.get_or_insert(now);
        }
        if !self.has_excess(room, now) {
            self.excess = 0.0;
            self.accounts.clear();
            return true;
        }
        // Never quite none while the shortage lasts.
        self.excess = self.excess_at(room, now).max(f64::EPSILON);
        let is_known = self.accounts.contains_key(arrival.class);
        if !is_known && self.accounts.len() >= MAX_KINDS {
            return room.fits_now;
        }
        let account = self.accounts.entry(arrival.class.clone()).or_default();
        if !is_known {
            account.mean_work = arrival.work;
        }
        account.mean_work += WORK_WEIGHT * (arrival.work - account.mean_work);
        account.balance += (1.0 - self.excess) * arrival.work;
        let is_owed = account.balance >= arrival.work / 2.0;
        let is_taken = is_owed || room.fits_now;
        if is_taken {
            account.balance -= arrival.work;
        }
        let bound = MAX_ACCOUNT * account.mean_work;
        account.balance = account.balance.clamp(-bound, bound);
        is_taken
    }

    /// Records that tasks of `work` core-seconds were started.
    pub fn on_start(&mut self, work: f64, now: Time) {
        self.started.add(work, HORIZON, now);
    }

    /// Returns the share of the work that was not taken at the last arrival; 0 without a shortage.
    pub fn excess(&self) -> f64 {
        self.excess
    }

    /// Returns whether there was a shortage at the last arrival.
    pub fn is_short(&self) -> bool {
        self.excess > 0.0
    }

    /// Returns the core-seconds that arrive per second.
    pub fn offered(&self, now: Time) -> f64 {
        self.offered.at(HORIZON, now)
    }

    /// Returns the core-seconds that can be started per second on upstreams with this many cores: while
    /// jobs have been queued for long enough to tell, what has been started, as a host that falls
    /// behind starts less than its upstreams could run.
    pub fn drain(&self, cores: f64, now: Time) -> f64 {
        match self.queued_since {
            Some(since) if now.since(since) >= MIN_MEASURED_TIME => {
                self.started.at(HORIZON, now).clamp(cores * MIN_MEASURED_SHARE, cores)
            }
            _ => cores * USABLE_SHARE,
        }
    }

    /// Returns whether more arrives than can be started, and has for long enough to tell. Once that is
    /// so, an empty queue doesn't end it: all that arrives until the next queue would start late.
    fn has_excess(&self, room: Room, now: Time) -> bool {
        let is_settled = self.queued_since.is_some_and(|since| now.since(since) >= MIN_QUEUED_TIME);
        let min_ratio = if self.is_short() { 1.0 } else { MIN_EXCESS_RATIO };
        let offered = self.offered.at(HORIZON, now);
        (is_settled || self.is_short()) && offered > min_ratio * self.drain(room.cores, now)
    }

    /// Returns the share of what arrives that has to be left out so that the queue is at its target
    /// after the horizon.
    fn excess_at(&self, room: Room, now: Time) -> f64 {
        let drain = self.drain(room.cores, now);
        let horizon_s = HORIZON.as_secs_f64();
        let startable = drain * (horizon_s + TARGET_QUEUE.as_secs_f64()) - room.queued;
        1.0 - (startable / (self.offered.at(HORIZON, now) * horizon_s)).clamp(0.0, 1.0)
    }
}

/// A rate, averaged with exponential weights.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    per_second: f64,
    at: Time,
}

impl Rate {
    fn add(&mut self, amount: f64, horizon: Duration, now: Time) {
        self.per_second = self.at(horizon, now) + amount / horizon.as_secs_f64();
        self.at = now;
    }

    fn at(&self, horizon: Duration, now: Time) -> f64 {
        self.per_second * (-now.since(self.at).as_secs_f64() / horizon.as_secs_f64()).exp()
    }
}
