//! Choice of the next queued task and its upstream.

mod candidate;

use super::{Dispatcher, QueuedTask};
use crate::clock::Time;
use crate::dispatch::{Eligibility, PlacementPolicy, QueueKey, Upstream, UpstreamKey};
use candidate::{Candidate, Reservation};
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of queued tasks of one shape examined in one choice.
const MAX_EXAMINED_PER_SHAPE: usize = 32;
/// Waiting for a busy slot pays only if the task then finishes within this fraction of its time on
/// the best free slot.
const MAX_WAIT_FINISH_RATIO: f64 = 0.8;
/// A slow slot is acceptable if the task finishes within this fraction of the time that its job's
/// longest task takes on the fastest upstream; the rest is a margin for wrong estimates.
const MAX_SLOW_FINISH_RATIO: f64 = 0.6;

/// Capacity reserved on each upstream for tasks ahead in the queue.
type Reservations = HashMap<UpstreamKey, Reservation>;

impl<T> Dispatcher<T> {
    /// Returns the next task to start and its upstream, if any.
    pub(super) fn pick(&mut self, now: Time) -> Option<(QueueKey, UpstreamKey)> {
        match self.options.placement {
            PlacementPolicy::EarliestFinish => {
                self.pick_probe(now).or_else(|| self.pick_earliest(now))
            }
            PlacementPolicy::Random => self.pick_random(1, now),
            PlacementPolicy::PowerOfTwo => self.pick_random(2, now),
        }
    }

    /// Returns an upstream that is to be probed and runs nothing, and for it the task of least
    /// worth among those that rank last. Tasks of customers that fail everywhere come after all
    /// others, as their failure tells nothing.
    fn pick_probe(&self, now: Time) -> Option<(QueueKey, UpstreamKey)> {
        let needs_probe = |u: &Upstream| {
            u.accepts_tasks(now)
                && u.running() == 0
                && u.health.eligibility(now) == Eligibility::Probing
        };
        let (upstream_key, upstream) = self.upstreams.iter().find(|(_, u)| needs_probe(u))?;
        let size = upstream.spec.size;
        let fits = |key: &QueueKey| self.fits_at(*key, upstream);
        let last_ranked = self
            .queue
            .ranked_last(MAX_EXAMINED_PER_SHAPE, |shape| size.holds(&shape.lower_bound()));
        let least = last_ranked.filter(fits).min_by(|a, b| {
            let by_worth = || self.worth(*a).total_cmp(&self.worth(*b));
            self.fails_everywhere(*a).cmp(&self.fails_everywhere(*b)).then_with(by_worth)
        })?;
        Some((least, upstream_key))
    }

    fn fails_everywhere(&self, key: QueueKey) -> bool {
        let queued = self.queue.get(key);
        queued.is_some_and(|queued| self.attribution.fails_everywhere(&queued.task.customer))
    }

    fn worth(&self, key: QueueKey) -> f64 {
        self.queue.get(key).map_or(f64::INFINITY, |queued| queued.task.worth)
    }

    fn fits_at(&self, key: QueueKey, upstream: &Upstream) -> bool {
        let queued = self.queue.get(key);
        queued.is_some_and(|queued| upstream.spec.size.holds(&queued.task.needs))
    }

    /// Returns the first task in rank order that should start now instead of waiting for a busy
    /// slot, and its upstream.
    fn pick_earliest(&self, now: Time) -> Option<(QueueKey, UpstreamKey)> {
        if !self.healthy(now).any(|(_, upstream)| upstream.free_slots() > 0) {
            return None;
        }
        let candidates = self.candidates(now);
        let min_slowness =
            candidates.iter().map(|candidate| candidate.slowness).fold(f64::INFINITY, f64::min);
        let mut reservations = Reservations::new();
        let mut walk = self.queue.walk();
        while let Some((shape, key)) = walk.next() {
            let queued = self.queue.get(key)?;
            if let Some(upstream) =
                choose_upstream(&candidates, queued, min_slowness, &mut reservations)
            {
                return Some((key, upstream));
            }
            walk.reject(shape, MAX_EXAMINED_PER_SHAPE);
        }
        None
    }

    fn candidates(&self, now: Time) -> Vec<Candidate> {
        self.healthy(now).map(|(key, upstream)| Candidate::of(key, upstream, now)).collect()
    }

    /// Returns the first task and, of `count` upstreams chosen at random, the one that runs fewest.
    ///
    /// Only the connections of an upstream limit its tasks: slots, worker size and health are
    /// ignored.
    fn pick_random(&mut self, count: usize, now: Time) -> Option<(QueueKey, UpstreamKey)> {
        let (_, key) = self.queue.walk().next()?;
        let open: Vec<UpstreamKey> = self
            .upstreams
            .iter()
            .filter(|(_, u)| u.accepts_tasks(now) && u.running() < u.spec.connections as usize)
            .map(|(upstream, _)| upstream)
            .collect();
        if open.is_empty() {
            return None;
        }
        let choices: Vec<UpstreamKey> =
            (0..count).map(|_| open[self.random_below(open.len())]).collect();
        let least_used = choices.into_iter().min_by_key(|key| self.upstreams[*key].running())?;
        Some((key, least_used))
    }

    /// Returns a pseudo-random number below `bound` (xorshift64).
    fn random_below(&mut self, bound: usize) -> usize {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        (self.rng_state % bound as u64) as usize
    }
}

/// Returns the upstream on which a task should start now. On `None` the task stays queued, and
/// capacity may have been reserved for it. `min_slowness` is that of the fastest candidate.
fn choose_upstream<T>(
    candidates: &[Candidate],
    queued: &QueuedTask<T>,
    min_slowness: f64,
    reservations: &mut Reservations,
) -> Option<UpstreamKey> {
    if let Some(upstream) = slowest_in_time(candidates, queued, min_slowness, reservations) {
        return Some(upstream);
    }
    let free = fastest_free(candidates, queued, reservations);
    let latest_finish =
        free.map_or(Duration::MAX, |(_, finish)| finish.mul_f64(MAX_WAIT_FINISH_RATIO));
    match best_start_after_wait(candidates, queued, reservations, latest_finish) {
        Some((upstream, startable_after)) => {
            reservations.entry(upstream).or_default().add(&queued.task.needs, startable_after);
            None
        }
        None => free.map(|(upstream, _)| upstream),
    }
}

/// Upstreams on which a task can start now without delaying tasks ahead of it.
fn startable_now<'a, T>(
    candidates: &'a [Candidate],
    queued: &'a QueuedTask<T>,
    reservations: &'a Reservations,
) -> impl Iterator<Item = &'a Candidate> {
    let needs = &queued.task.needs;
    candidates.iter().filter(move |candidate| match reservations.get(&candidate.key) {
        None => candidate.fits_now(needs),
        Some(reservation) => candidate.fits_beside(reservation, needs, queued.expected),
    })
}

/// Returns the slowest upstream on which a task still finishes well before the longest task of its
/// job. Fast slots are thereby left to the tasks that determine when jobs end.
fn slowest_in_time<T>(
    candidates: &[Candidate],
    queued: &QueuedTask<T>,
    min_slowness: f64,
    reservations: &Reservations,
) -> Option<UpstreamKey> {
    let longest = queued.task.job_longest.mul_f64(min_slowness);
    let in_time = |candidate: &&Candidate| {
        queued.expected.mul_f64(candidate.slowness) <= longest.mul_f64(MAX_SLOW_FINISH_RATIO)
    };
    let fitting = startable_now(candidates, queued, reservations).filter(in_time);
    let slowest = fitting.max_by(|a, b| a.slowness.total_cmp(&b.slowness))?;
    Some(slowest.key)
}

/// Returns the fastest upstream on which a task can start now, and the expected run time there.
fn fastest_free<T>(
    candidates: &[Candidate],
    queued: &QueuedTask<T>,
    reservations: &Reservations,
) -> Option<(UpstreamKey, Duration)> {
    let free = startable_now(candidates, queued, reservations);
    let fastest = free.min_by(|a, b| a.slowness.total_cmp(&b.slowness))?;
    Some((fastest.key, queued.expected.mul_f64(fastest.slowness)))
}

/// Returns the upstream where the task finishes earliest if it waits for a running task to end, and
/// the time until it can start there. `None` if no such finish is before `bound`.
fn best_start_after_wait<T>(
    candidates: &[Candidate],
    queued: &QueuedTask<T>,
    reservations: &Reservations,
    bound: Duration,
) -> Option<(UpstreamKey, Duration)> {
    let no_reservation = Reservation::default();
    let mut best = (bound, None);
    for candidate in candidates {
        let reservation = reservations.get(&candidate.key).unwrap_or(&no_reservation);
        let Some(startable_after) = candidate.time_until_fit(reservation, &queued.task.needs)
        else {
            continue;
        };
        let finish = startable_after + queued.expected.mul_f64(candidate.slowness);
        if !startable_after.is_zero() && finish < best.0 {
            best = (finish, Some((candidate.key, startable_after)));
        }
    }
    best.1
}
