use super::Task;
use crate::name::Class;
use std::collections::HashMap;
use std::time::Duration;

/// Classes whose run times are learned apart; further ones share one estimate.
const MAX_CLASSES: usize = 256;
/// Expected time of a task of which nothing is known.
const UNKNOWN: Duration = Duration::from_millis(100);
/// Least weight of a new observation.
const LEAST_WEIGHT: f64 = 0.05;
/// Largest step of one observation, as a natural logarithm; tames heavy tails.
const LARGEST_STEP: f64 = 2.0;

/// Learns how long tasks of each class run, against what callers declare.
///
/// Times are those on an upstream of ordinary speed: an observation is divided by its upstream's
/// slowness first.
#[derive(Debug, Default)]
pub struct Estimates {
    classes: HashMap<Class, Learned>,
    other: Learned,
}

#[derive(Clone, Copy, Debug, Default)]
struct Learned {
    declared: LogMean,
    undeclared: LogMean,
}

/// A running mean of logarithms that starts at zero.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LogMean {
    value: f64,
    seen: u32,
}

impl LogMean {
    /// Moves towards `sample`, a natural logarithm.
    pub(super) fn learn(&mut self, sample: f64, least_weight: f64) {
        self.seen = self.seen.saturating_add(1);
        let weight = (1.0 / f64::from(self.seen)).max(least_weight);
        let largest = if self.seen == 1 { f64::INFINITY } else { LARGEST_STEP };
        self.value += weight * (sample - self.value).clamp(-largest, largest);
    }

    /// The factor that the mean stands for.
    pub(super) fn factor(&self) -> f64 {
        self.value.exp()
    }

    /// How many samples it holds.
    pub(super) fn seen(&self) -> u32 {
        self.seen
    }
}

impl Estimates {
    /// Expected time of a task on an upstream of ordinary speed.
    pub fn expect(&self, class: &Class, declared: Duration) -> Duration {
        let learned = self.classes.get(class).unwrap_or(&self.other);
        if !declared.is_zero() {
            return declared.mul_f64(learned.declared.factor().clamp(0.001, 1_000.0));
        }
        if learned.undeclared.seen() == 0 {
            return UNKNOWN;
        }
        Duration::from_secs_f64(learned.undeclared.factor().clamp(1e-5, 3_600.0))
    }

    /// Whether a task's time is declared or learned, not guessed.
    pub fn knows(&self, class: &Class, declared: Duration) -> bool {
        let learned = self.classes.get(class).unwrap_or(&self.other);
        !declared.is_zero() || learned.undeclared.seen() > 0
    }

    /// Learns from a task that took `ordinary` once its upstream's slowness was taken out.
    pub fn learn(&mut self, task: &Task, ordinary: Duration) {
        let seconds = ordinary.as_secs_f64().max(1e-6);
        let learned = self.entry(&task.class);
        if task.declared.is_zero() {
            learned.undeclared.learn(seconds.ln(), LEAST_WEIGHT);
        } else {
            let declared = task.declared.as_secs_f64();
            learned.declared.learn((seconds / declared).ln(), LEAST_WEIGHT);
        }
    }

    /// Classes learned apart.
    pub fn classes(&self) -> usize {
        self.classes.len()
    }

    fn entry(&mut self, class: &Class) -> &mut Learned {
        if !self.classes.contains_key(class) && self.classes.len() >= MAX_CLASSES {
            return &mut self.other;
        }
        self.classes.entry(class.clone()).or_default()
    }
}
