use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Weight of one run in the moving average of its class.
const RUN_WEIGHT: f64 = 0.02;
/// Maximum number of classes that are tracked; for others the declared duration is used.
const MAX_CLASSES: usize = 1_000;

/// Learned ratio of actual to declared durations for each class of jobs.
#[derive(Debug, Default)]
pub(super) struct Durations {
    /// Natural logarithm of the ratio, by class.
    log_ratios: BTreeMap<Arc<str>, f64>,
}

impl Durations {
    /// Returns the expected duration on an upstream of usual speed.
    pub fn expected(&self, class: &str, declared: Duration) -> Duration {
        declared.mul_f64(self.log_ratios.get(class).copied().unwrap_or_default().exp())
    }

    /// Records the duration of a run, as the natural logarithm of its ratio to the declared
    /// duration.
    pub fn record(&mut self, class: &Arc<str>, log_ratio: f64) {
        if self.log_ratios.len() >= MAX_CLASSES && !self.log_ratios.contains_key(class) {
            return;
        }
        let learned = self.log_ratios.entry(class.clone()).or_default();
        *learned += RUN_WEIGHT * (log_ratio - *learned);
    }
}
