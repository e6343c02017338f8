//! Choice of the next queued task and its upstream.

mod slots;

use super::{Dispatcher, Waiting};
use crate::clock::Time;
use crate::dispatch::{Choice, Standing, Upstream, UpstreamKey, WaitKey};
use slots::{Kept, Slots};
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of queued tasks of one shape examined in one choice.
const WINDOW: usize = 32;
/// Waiting for a busy slot pays only if the task then finishes within this fraction of its time on
/// the best free slot.
const GAIN_TO_WAIT: f64 = 0.8;
/// A slow slot is acceptable if the task finishes within this fraction of the time of its job's
/// longest task; the rest is a margin for wrong estimates.
const WELL_BEFORE: f64 = 0.6;

/// Capacity reserved on each upstream for tasks ahead in the queue.
type AllKept = HashMap<UpstreamKey, Kept>;

impl<T> Dispatcher<T> {
    /// Returns the next task to start and its upstream, if any.
    pub(super) fn pick(&mut self, now: Time) -> Option<(WaitKey, UpstreamKey)> {
        match self.options.choice {
            Choice::EarliestFinish => self.pick_trial(now).or_else(|| self.pick_earliest(now)),
            Choice::Random => self.pick_drawn(1, now),
            Choice::PowerOfTwo => self.pick_drawn(2, now),
        }
    }

    /// Gives an upstream that is being probed the task of least worth, one at a time.
    fn pick_trial(&self, now: Time) -> Option<(WaitKey, UpstreamKey)> {
        let on_trial = |u: &Upstream| {
            u.is_open(now) && u.running() == 0 && u.health.standing(now) == Standing::OnTrial
        };
        let (upstream_key, upstream) = self.upstreams.iter().find(|(_, u)| on_trial(u))?;
        let size = upstream.spec.size;
        let fits = |key: &WaitKey| self.fits_at(*key, upstream);
        let window = self.waiting.last(WINDOW, |shape| size.holds(&shape.least()));
        let least = window.filter(fits).min_by(|a, b| self.worth(*a).total_cmp(&self.worth(*b)))?;
        Some((least, upstream_key))
    }

    fn worth(&self, key: WaitKey) -> f64 {
        self.waiting.get(key).map_or(f64::INFINITY, |waiting| waiting.task.worth)
    }

    fn fits_at(&self, key: WaitKey, upstream: &Upstream) -> bool {
        let waiting = self.waiting.get(key);
        waiting.is_some_and(|waiting| upstream.spec.size.holds(&waiting.task.needs))
    }

    /// Returns the first task in rank order that should start now instead of waiting for a busy
    /// slot, and its upstream.
    fn pick_earliest(&self, now: Time) -> Option<(WaitKey, UpstreamKey)> {
        if !self.good(now).any(|(_, upstream)| upstream.free_slots() > 0) {
            return None;
        }
        let slots = self.slots(now);
        let fastest = slots.iter().map(|slots| slots.slowness).fold(f64::INFINITY, f64::min);
        let mut kept = AllKept::new();
        let mut walk = self.waiting.walk();
        while let Some((shape, key)) = walk.next() {
            let waiting = self.waiting.get(key)?;
            if let Some(upstream) = place(&slots, waiting, fastest, &mut kept) {
                return Some((key, upstream));
            }
            walk.pass(shape, WINDOW);
        }
        None
    }

    fn slots(&self, now: Time) -> Vec<Slots> {
        self.good(now).map(|(key, upstream)| Slots::of(key, upstream, now)).collect()
    }

    /// Returns the first task, on the least used of `draws` upstreams chosen at random.
    fn pick_drawn(&mut self, draws: usize, now: Time) -> Option<(WaitKey, UpstreamKey)> {
        let (_, key) = self.waiting.walk().next()?;
        let open: Vec<UpstreamKey> = self
            .upstreams
            .iter()
            .filter(|(_, u)| u.is_open(now) && u.running() < u.spec.connections as usize)
            .map(|(upstream, _)| upstream)
            .collect();
        if open.is_empty() {
            return None;
        }
        let drawn: Vec<UpstreamKey> = (0..draws).map(|_| open[self.draw(open.len())]).collect();
        let least_used = drawn.into_iter().min_by_key(|key| self.upstreams[*key].running())?;
        Some((key, least_used))
    }

    /// Returns a pseudo-random number below `bound` (xorshift64).
    fn draw(&mut self, bound: usize) -> usize {
        self.draws ^= self.draws << 13;
        self.draws ^= self.draws >> 7;
        self.draws ^= self.draws << 17;
        (self.draws % bound as u64) as usize
    }
}

/// Returns the upstream on which a task should start now. On `None` the task stays queued, and
/// capacity may have been reserved for it.
fn place<T>(
    slots: &[Slots],
    waiting: &Waiting<T>,
    fastest: f64,
    kept: &mut AllKept,
) -> Option<UpstreamKey> {
    if let Some(spare) = slowest_in_time(slots, waiting, fastest, kept) {
        return Some(spare);
    }
    let free = earliest_free(slots, waiting, kept);
    let worth_waiting = free.map_or(Duration::MAX, |(_, finish)| finish.mul_f64(GAIN_TO_WAIT));
    match earliest_later(slots, waiting, kept, worth_waiting) {
        Some((later, opening)) => {
            kept.entry(later).or_default().keep(&waiting.task.needs, opening);
            None
        }
        None => free.map(|(upstream, _)| upstream),
    }
}

/// Upstreams on which a task can start now without delaying tasks ahead of it.
fn open_now<'a, T>(
    slots: &'a [Slots],
    waiting: &'a Waiting<T>,
    kept: &'a AllKept,
) -> impl Iterator<Item = &'a Slots> {
    let needs = &waiting.task.needs;
    slots.iter().filter(move |slots| match kept.get(&slots.key) {
        None => slots.has_room(needs),
        Some(kept) => slots.has_room_beside(kept, needs, waiting.expected),
    })
}

/// Returns the slowest upstream on which a task still finishes well before the longest task of its
/// job. Fast slots are thereby left to the tasks that determine when jobs end.
fn slowest_in_time<T>(
    slots: &[Slots],
    waiting: &Waiting<T>,
    fastest: f64,
    kept: &AllKept,
) -> Option<UpstreamKey> {
    let longest = waiting.task.job_longest.mul_f64(fastest);
    let in_time =
        |slots: &&Slots| waiting.expected.mul_f64(slots.slowness) <= longest.mul_f64(WELL_BEFORE);
    let fitting = open_now(slots, waiting, kept).filter(in_time);
    let spare = fitting.max_by(|a, b| a.slowness.total_cmp(&b.slowness))?;
    Some(spare.key)
}

fn earliest_free<T>(
    slots: &[Slots],
    waiting: &Waiting<T>,
    kept: &AllKept,
) -> Option<(UpstreamKey, Duration)> {
    let free = open_now(slots, waiting, kept);
    let fastest = free.min_by(|a, b| a.slowness.total_cmp(&b.slowness))?;
    Some((fastest.key, waiting.expected.mul_f64(fastest.slowness)))
}

/// Returns the upstream where the task finishes earliest if it starts later, and the time until it
/// can start there. `None` if no such finish is before `bound`.
fn earliest_later<T>(
    slots: &[Slots],
    waiting: &Waiting<T>,
    kept: &AllKept,
    bound: Duration,
) -> Option<(UpstreamKey, Duration)> {
    let none = Kept::default();
    let mut best = (bound, None);
    for slots in slots {
        let kept = kept.get(&slots.key).unwrap_or(&none);
        let Some(opening) = slots.opening(kept, &waiting.task.needs) else {
            continue;
        };
        let finish = opening + waiting.expected.mul_f64(slots.slowness);
        if !opening.is_zero() && finish < best.0 {
            best = (finish, Some((slots.key, opening)));
        }
    }
    best.1
}
