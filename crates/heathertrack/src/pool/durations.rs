use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Weight of one run in the ratio of its class.
const WEIGHT: f64 = 0.02;
/// Most classes that are kept; further ones are taken as declared.
const MAX_CLASSES: usize = 1_000;

/// Learned ratio between real and declared durations of each class, as logarithms.
#[derive(Debug, Default)]
pub(super) struct Durations {
    classes: BTreeMap<Arc<str>, f64>,
}

impl Durations {
    /// Expected duration at usual speed.
    pub fn expected(&self, class: &str, declared: Duration) -> Duration {
        declared.mul_f64(self.classes.get(class).copied().unwrap_or_default().exp())
    }

    /// Notes how long a run took, as the logarithm of real work against the declared one.
    pub fn note(&mut self, class: &Arc<str>, log_ratio: f64) {
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(class) {
            return;
        }
        let ratio = self.classes.entry(class.clone()).or_default();
        *ratio += WEIGHT * (log_ratio - *ratio);
    }
}
