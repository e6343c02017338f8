use std::time::Duration;

/// Weight in the moving average of a comparison with sibling runs, of tasks of the same step. Their
/// work differs by some 15% only.
const SIBLING_WEIGHT: f64 = 0.25;
/// Weight in the moving average of a comparison with the expected duration. It is lower, as
/// declared durations are off by some 40%.
const EXPECTED_WEIGHT: f64 = 0.04;
/// Maximum factor between a speed and the usual one, so that outliers can't rule out an upstream.
const MAX_FACTOR: f64 = 8.0;

/// Learned speed of an upstream relative to the usual one, as a natural logarithm.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Speed(f64);

impl Speed {
    /// Returns the speed as a factor.
    pub fn factor(self) -> f64 {
        self.0.exp()
    }

    /// Returns the natural logarithm of the factor.
    pub fn log(self) -> f64 {
        self.0
    }

    /// Returns the duration at this speed of work that takes `usual` at usual speed.
    pub fn scale(self, usual: Duration) -> Duration {
        usual.mul_f64((-self.0).exp())
    }

    /// Adjusts the speed towards the one that a comparison with sibling runs implies.
    pub fn adjust_to_siblings(&mut self, log_speed: f64) {
        self.adjust(log_speed, SIBLING_WEIGHT);
    }

    /// Adjusts the speed towards the one at which the expected duration would be right.
    pub fn adjust_to_expected(&mut self, log_speed: f64) {
        self.adjust(log_speed, EXPECTED_WEIGHT);
    }

    fn adjust(&mut self, towards: f64, weight: f64) {
        let limit = MAX_FACTOR.ln();
        self.0 = (self.0 + weight * (towards - self.0)).clamp(-limit, limit);
    }
}
