use super::Task;
use crate::name::Class;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of classes with their own estimate; further classes share one.
const MAX_CLASSES: usize = 256;
/// Expected run time of a task without a declaration and without past runs of its class.
const UNKNOWN: Duration = Duration::from_millis(100);
/// Minimum weight of a new sample.
const LEAST_WEIGHT: f64 = 0.05;
/// Maximum deviation that one sample counts with, as a natural logarithm; limits the effect of
/// outliers.
const LARGEST_STEP: f64 = 2.0;

/// Learned run times by task class, relative to the run times that callers declare.
///
/// Times are those on an upstream of nominal speed: the caller divides a measured time by the
/// slowness of its upstream.
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

/// Moving average of natural logarithms, initially 0.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LogMean {
    value: f64,
    seen: u32,
}

impl LogMean {
    /// Adds `sample`, a natural logarithm.
    pub(super) fn learn(&mut self, sample: f64, least_weight: f64) {
        self.seen = self.seen.saturating_add(1);
        let weight = (1.0 / f64::from(self.seen)).max(least_weight);
        let largest = if self.seen == 1 { f64::INFINITY } else { LARGEST_STEP };
        self.value += weight * (sample - self.value).clamp(-largest, largest);
    }

    /// Geometric mean of the samples.
    pub(super) fn factor(&self) -> f64 {
        self.value.exp()
    }

    /// Number of samples added.
    pub(super) fn seen(&self) -> u32 {
        self.seen
    }
}

impl Estimates {
    /// Expected run time of a task on an upstream of nominal speed.
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

    /// Whether the expected run time comes from a declaration or past runs, not from a default.
    pub fn knows(&self, class: &Class, declared: Duration) -> bool {
        let learned = self.classes.get(class).unwrap_or(&self.other);
        !declared.is_zero() || learned.undeclared.seen() > 0
    }

    /// Adds a task that took `ordinary`, its run time divided by the slowness of its upstream.
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

    /// Number of classes with their own estimate.
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
