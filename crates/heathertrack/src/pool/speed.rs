use std::time::Duration;

/// Weight of a comparison with sibling tasks of the same job, whose work differs by some 15% only.
const COMPARED: f64 = 0.25;
/// Weight of a comparison with the expected duration: the declared one is off by some 40%.
const DECLARED: f64 = 0.04;
/// Maximum factor between a speed and the usual one, so that outliers can't rule out an upstream.
const WIDEST: f64 = 8.0;

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
    pub fn stretch(self, usual: Duration) -> Duration {
        usual.mul_f64((-self.0).exp())
    }

    /// Adjusts the speed towards the one that a comparison with sibling runs implies.
    pub fn compare(&mut self, log_speed: f64) {
        self.shift(log_speed, COMPARED);
    }

    /// Adjusts the speed towards the one at which the expected duration would be right.
    pub fn declare(&mut self, log_speed: f64) {
        self.shift(log_speed, DECLARED);
    }

    fn shift(&mut self, towards: f64, weight: f64) {
        let bound = WIDEST.ln();
        self.0 = (self.0 + weight * (towards - self.0)).clamp(-bound, bound);
    }
}
