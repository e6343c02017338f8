use std::time::Duration;

/// Weight of a comparison with other tasks of the same job: their work differs by some 15% only.
const COMPARED: f64 = 0.25;
/// Weight of a comparison with the declared duration, which is off by some 40%.
const DECLARED: f64 = 0.04;
/// Speeds are kept within this factor of the usual one, so that one odd run can't rule one out.
const WIDEST: f64 = 8.0;

/// Learned speed of an upstream against the usual one, as a natural logarithm.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Speed(f64);

impl Speed {
    /// The speed as a factor.
    pub fn factor(self) -> f64 {
        self.0.exp()
    }

    /// The logarithm.
    pub fn log(self) -> f64 {
        self.0
    }

    /// Time that work of this duration at usual speed takes.
    pub fn stretch(self, usual: Duration) -> Duration {
        usual.mul_f64((-self.0).exp())
    }

    /// Moves towards the speed at which this run's siblings say it should have run.
    pub fn compare(&mut self, log_speed: f64) {
        self.shift(log_speed, COMPARED);
    }

    /// Moves towards the speed at which the declared duration would be right.
    pub fn declare(&mut self, log_speed: f64) {
        self.shift(log_speed, DECLARED);
    }

    fn shift(&mut self, towards: f64, weight: f64) {
        let bound = WIDEST.ln();
        self.0 = (self.0 + weight * (towards - self.0)).clamp(-bound, bound);
    }
}
