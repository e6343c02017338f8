use super::Task;
use crate::name::Class;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of classes with their own estimate; further classes share one.
const MAX_CLASSES: usize = 256;
/// Expected run time of a task without a declaration and without past runs of its class.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);
/// Minimum weight of a new sample.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;
/// Maximum deviation of a sample from the mean, as a natural logarithm. Larger deviations count
/// as this one, which limits the effect of outliers.
const MAX_DEVIATION: f64 = 2.0;
/// Lower bound of the learned ratio of actual to declared run times.
const MIN_FACTOR: f64 = 0.001;
/// Upper bound of the learned ratio of actual to declared run times.
const MAX_FACTOR: f64 = 1_000.0;
/// Lower bound of an expected run time that is not declared, in seconds.
const MIN_RUN_TIME_S: f64 = 1e-5;
/// Upper bound of an expected run time that is not declared, in seconds.
const MAX_RUN_TIME_S: f64 = 3_600.0;
/// Lower bound of a measured run time in seconds, so that its logarithm is defined.
const MIN_MEASURED_S: f64 = 1e-6;

/// Learned run times by task class, relative to the run times that callers declare.
///
/// Times are those on an upstream of nominal speed: the dispatcher divides a measured time by the
/// slowness of the upstream.
#[derive(Debug, Default)]
pub struct Estimates {
    classes: HashMap<Class, Learned>,
    /// Estimate of all classes without their own.
    shared: Learned,
}

#[derive(Clone, Copy, Debug, Default)]
struct Learned {
    /// Ratio of actual to declared run times, from tasks that declare one.
    declared: LogMean,
    /// Run times in seconds, from tasks that declare none.
    undeclared: LogMean,
}

/// Moving average of natural logarithms, initially 0.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LogMean {
    value: f64,
    samples: u32,
}

impl LogMean {
    /// Adds `sample`, a natural logarithm. The first samples all weigh the same; later ones weigh
    /// `min_weight`.
    pub(super) fn learn(&mut self, sample: f64, min_weight: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(min_weight);
        let limit = if self.samples == 1 { f64::INFINITY } else { MAX_DEVIATION };
        self.value += weight * (sample - self.value).clamp(-limit, limit);
    }

    /// Geometric mean of the values whose logarithms were added; 1 if there are none.
    pub(super) fn geometric_mean(&self) -> f64 {
        self.value.exp()
    }

    /// Number of samples added.
    pub(super) fn samples(&self) -> u32 {
        self.samples
    }
}

impl Estimates {
    /// Expected run time of a task on an upstream of nominal speed.
    pub fn expected_run_time(&self, class: &Class, declared: Duration) -> Duration {
        let learned = self.classes.get(class).unwrap_or(&self.shared);
        if !declared.is_zero() {
            return declared
                .mul_f64(learned.declared.geometric_mean().clamp(MIN_FACTOR, MAX_FACTOR));
        }
        if learned.undeclared.samples() == 0 {
            return DEFAULT_RUN_TIME;
        }
        Duration::from_secs_f64(
            learned.undeclared.geometric_mean().clamp(MIN_RUN_TIME_S, MAX_RUN_TIME_S),
        )
    }

    /// Whether the expected run time comes from a declaration or past runs, not from a default.
    pub fn has_estimate(&self, class: &Class, declared: Duration) -> bool {
        let learned = self.classes.get(class).unwrap_or(&self.shared);
        !declared.is_zero() || learned.undeclared.samples() > 0
    }

    /// Learns from a task that has ended. `nominal` is its run time divided by the slowness of its
    /// upstream.
    pub fn learn(&mut self, task: &Task, nominal: Duration) {
        let seconds = nominal.as_secs_f64().max(MIN_MEASURED_S);
        let learned = self.entry(&task.class);
        if task.declared.is_zero() {
            learned.undeclared.learn(seconds.ln(), MIN_SAMPLE_WEIGHT);
        } else {
            let declared = task.declared.as_secs_f64();
            learned.declared.learn((seconds / declared).ln(), MIN_SAMPLE_WEIGHT);
        }
    }

    /// Number of classes with their own estimate.
    pub fn class_count(&self) -> usize {
        self.classes.len()
    }

    /// Returns the estimate of a class, which is the shared one if there are too many classes.
    fn entry(&mut self, class: &Class) -> &mut Learned {
        if !self.classes.contains_key(class) && self.classes.len() >= MAX_CLASSES {
            return &mut self.shared;
        }
        self.classes.entry(class.clone()).or_default()
    }
}
