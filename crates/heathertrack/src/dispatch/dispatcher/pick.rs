//! Choosing the next waiting task and its upstream.

use super::{Dispatcher, Waiting};
use crate::clock::Time;
use crate::dispatch::{Choice, Standing, Upstream, UpstreamKey, WaitKey};
use std::collections::HashMap;
use std::time::Duration;

/// Waiting tasks looked at in one choice.
const WINDOW: usize = 32;
/// A slot that isn't free yet must finish a task earlier than the best free one by this part.
const GAIN_TO_WAIT: f64 = 0.8;

/// A task that ends within this part of its job's longest one leaves room for wrong estimates.
const WELL_BEFORE: f64 = 0.6;

/// Slots that come free later and are kept for tasks ahead in the queue.
type Kept = HashMap<UpstreamKey, usize>;

impl<T> Dispatcher<T> {
    /// The next task to start and where, if any.
    pub(super) fn pick(&mut self, now: Time) -> Option<(WaitKey, UpstreamKey)> {
        match self.options.choice {
            Choice::EarliestFinish => self.pick_trial(now).or_else(|| self.pick_earliest(now)),
            Choice::Random => self.pick_drawn(1, now),
            Choice::PowerOfTwo => self.pick_drawn(2, now),
        }
    }

    /// An upstream on trial gets the task of least worth, one at a time.
    fn pick_trial(&self, now: Time) -> Option<(WaitKey, UpstreamKey)> {
        let on_trial = |u: &Upstream| {
            u.is_open(now) && u.running() == 0 && u.health.standing(now) == Standing::OnTrial
        };
        let (upstream_key, upstream) = self.upstreams.iter().find(|(_, u)| on_trial(u))?;
        let fits = |key: &WaitKey| self.fits_at(*key, upstream);
        let window = self.waiting.last(WINDOW).into_iter().filter(fits);
        let least = window.min_by(|a, b| self.worth(*a).total_cmp(&self.worth(*b)))?;
        Some((least, upstream_key))
    }

    fn worth(&self, key: WaitKey) -> f64 {
        self.waiting.get(key).map_or(f64::INFINITY, |waiting| waiting.task.worth)
    }

    fn fits_at(&self, key: WaitKey, upstream: &Upstream) -> bool {
        let waiting = self.waiting.get(key);
        waiting.is_some_and(|waiting| upstream.spec.size.holds(&waiting.task.needs))
    }

    /// The first task in order for which a free slot is the earliest way to finish.
    fn pick_earliest(&self, now: Time) -> Option<(WaitKey, UpstreamKey)> {
        if !self.good(now).any(|upstream| upstream.free_slots() > 0) {
            return None;
        }
        let slots = self.slots(now);
        let fastest = slots.iter().map(|slots| slots.slowness).fold(f64::INFINITY, f64::min);
        let mut kept = Kept::new();
        for key in self.waiting.first(WINDOW) {
            let waiting = self.waiting.get(key)?;
            if let Some(spare) = slowest_in_time(&slots, waiting, fastest) {
                return Some((key, spare));
            }
            let Some((free, finish)) = earliest_free(&slots, waiting) else {
                continue;
            };
            let worth_waiting = finish.mul_f64(GAIN_TO_WAIT);
            match earliest_later(&slots, waiting, &kept, worth_waiting) {
                Some(later) => *kept.entry(later).or_default() += 1,
                None => return Some((key, free)),
            }
        }
        None
    }

    fn slots(&self, now: Time) -> Vec<Slots<'_>> {
        let usable = self.upstreams.iter().filter(|(_, upstream)| {
            upstream.is_open(now) && upstream.health.standing(now) == Standing::Good
        });
        let slots = usable.map(|(key, upstream)| Slots {
            key,
            upstream,
            slowness: upstream.slowness(now),
            free: upstream.free_slots() > 0,
            ends: upstream.expected_ends(now),
        });
        slots.collect()
    }

    /// The first task, on the less used of `draws` upstreams drawn at random.
    fn pick_drawn(&mut self, draws: usize, now: Time) -> Option<(WaitKey, UpstreamKey)> {
        let key = *self.waiting.first(1).first()?;
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

    /// Draws a number below `bound`, by xorshift.
    fn draw(&mut self, bound: usize) -> usize {
        self.draws ^= self.draws << 13;
        self.draws ^= self.draws >> 7;
        self.draws ^= self.draws << 17;
        (self.draws % bound as u64) as usize
    }
}

/// The slots of one upstream as one choice sees them.
struct Slots<'a> {
    key: UpstreamKey,
    upstream: &'a Upstream,
    slowness: f64,
    free: bool,
    ends: Vec<Duration>,
}

/// The slowest free slot on which a task still ends well before the longest one of its job, so
/// that the fast slots are left to those that jobs wait for.
fn slowest_in_time<T>(slots: &[Slots], waiting: &Waiting<T>, fastest: f64) -> Option<UpstreamKey> {
    let longest = waiting.task.job_longest.mul_f64(fastest);
    let in_time =
        |slots: &&Slots| waiting.expected.mul_f64(slots.slowness) <= longest.mul_f64(WELL_BEFORE);
    let fitting =
        slots.iter().filter(|s| s.free && s.upstream.spec.size.holds(&waiting.task.needs));
    let spare = fitting.filter(in_time).max_by(|a, b| a.slowness.total_cmp(&b.slowness))?;
    Some(spare.key)
}

fn earliest_free<T>(slots: &[Slots], waiting: &Waiting<T>) -> Option<(UpstreamKey, Duration)> {
    let free = slots.iter().filter(|s| s.free && s.upstream.spec.size.holds(&waiting.task.needs));
    let fastest = free.min_by(|a, b| a.slowness.total_cmp(&b.slowness))?;
    Some((fastest.key, waiting.expected.mul_f64(fastest.slowness)))
}

/// A slot that comes free in time to finish the task before `bound`, the best such one.
fn earliest_later<T>(
    slots: &[Slots],
    waiting: &Waiting<T>,
    kept: &Kept,
    bound: Duration,
) -> Option<UpstreamKey> {
    let mut best = (bound, None);
    for busy in slots.iter().filter(|s| !s.free && s.upstream.spec.size.holds(&waiting.task.needs))
    {
        let taken = kept.get(&busy.key).copied().unwrap_or(0);
        let Some(end) = busy.ends.get(taken) else {
            continue;
        };
        let finish = *end + waiting.expected.mul_f64(busy.slowness);
        if finish < best.0 {
            best = (finish, Some(busy.key));
        }
    }
    best.1
}
