//! Learned speeds of upstreams.

use crate::clock::Time;
use std::time::Duration;

/// Weight in the moving average of a comparison with sibling runs, of tasks of the same step.
const SIBLING_WEIGHT: f64 = 0.25;
/// Weight of a comparison that the difference between siblings can't explain.
const CHANGE_WEIGHT: f64 = 0.8;
/// Weight in the moving average of a comparison with the expected duration. It is lower, as
/// declared durations are off by some 40%.
const EXPECTED_WEIGHT: f64 = 0.04;
/// Maximum factor between a speed and the usual one, so that outliers can't rule out an upstream.
const MAX_FACTOR: f64 = 8.0;
/// Difference between the logarithms of works up to which they can be those of siblings: three times
/// the usual deviation of 15%.
const SIBLING_SPREAD: f64 = 0.45;
/// Factor between the speed of a slow upstream and the usual one. Kinds of sound upstreams differ by
/// less: those of the users by 2.7 at most.
const SLOW_FACTOR: f64 = 1.0 / 3.0;
/// Usual error of declared durations, as a difference of logarithms.
const DECLARED_ERROR: f64 = 0.4;
/// Number of runs that a group of like works may have less than another if it is closer to the
/// declared duration by the square of its error.
const RUNS_PER_SQUARED_ERROR: f64 = 0.25;
/// Time in which half of a low speed is forgotten unless runs confirm it. A slow upstream gets few
/// tasks, and would be taken for slow for good.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(4);

/// Learned speed of an upstream relative to the usual one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Speed {
    /// Natural logarithm of the factor.
    log: f64,
    /// When a low speed was last confirmed or forgotten in part.
    as_of: Time,
}

impl Speed {
    /// Returns the speed as a factor.
    pub fn factor(self) -> f64 {
        self.log.exp()
    }

    /// Returns the natural logarithm of the factor.
    pub fn log(self) -> f64 {
        self.log
    }

    /// Returns whether the upstream is far slower than usual.
    pub fn is_slow(self) -> bool {
        self.log < SLOW_FACTOR.ln()
    }

    /// Returns the duration at this speed of work that takes `usual` at usual speed.
    pub fn scale(self, usual: Duration) -> Duration {
        usual.mul_f64((-self.log).exp())
    }

    /// Adjusts the speed towards the one that a comparison with sibling runs implies.
    ///
    /// Addresses the load pattern "a third of the upstreams turn slow at once": each further task
    /// that is started on a slow one delays its job, so a change is believed at once.
    pub fn adjust_to_siblings(&mut self, log_speed: f64, now: Time) {
        let is_changed = (log_speed - self.log).abs() > SIBLING_SPREAD;
        let weight = if is_changed { CHANGE_WEIGHT } else { SIBLING_WEIGHT };
        self.adjust(log_speed, weight, now);
    }

    /// Adjusts the speed towards the one at which the expected duration would be right.
    pub fn adjust_to_expected(&mut self, log_speed: f64, now: Time) {
        self.adjust(log_speed, EXPECTED_WEIGHT, now);
    }

    /// Lowers the speed to the highest one that a run in progress allows.
    pub fn limit(&mut self, max_log_speed: f64, now: Time) {
        if max_log_speed < self.log {
            self.adjust(max_log_speed, 1.0, now);
        }
    }

    /// Forgets a part of a low speed that no run has confirmed for a while.
    pub fn forget(&mut self, now: Time) {
        if self.log < -SIBLING_SPREAD {
            let half_lives = now.since(self.as_of).div_duration_f64(SLOWNESS_HALF_LIFE);
            self.log *= 0.5_f64.powf(half_lives);
        }
        self.as_of = now;
    }

    fn adjust(&mut self, towards: f64, weight: f64, now: Time) {
        let limit = MAX_FACTOR.ln();
        self.log = (self.log + weight * (towards - self.log)).clamp(-limit, limit);
        self.as_of = now;
    }
}

/// Returns the natural logarithm of the work that the tasks of a step have in common: the mean of the
/// largest group that differs by no more than siblings do. Groups far from `log_declared` count as
/// smaller than they are. `None` without runs. `log_works` are the logarithms of the runs' durations
/// at usual speed.
///
/// Addresses the load pattern "a third of the upstreams turn slow at once": a mean of all runs would
/// make the other upstreams look faster than usual, and the slow ones less slow than they are. When
/// they are as fast as before again, most runs of a job may be on upstreams that are taken for slow.
pub fn common_log_work(mut log_works: Vec<f64>, log_declared: f64) -> Option<f64> {
    log_works.sort_unstable_by(f64::total_cmp);
    let group = |first: usize| {
        let max = log_works[first] + SIBLING_SPREAD;
        let count = log_works[first..].partition_point(|log_work| *log_work <= max);
        let mean = log_works[first..first + count].iter().sum::<f64>() / count as f64;
        let error = (mean - log_declared) / DECLARED_ERROR;
        (count as f64 - RUNS_PER_SQUARED_ERROR * error * error, mean)
    };
    let groups = (0..log_works.len()).map(group);
    let best = groups.max_by(|(score, _), (other_score, _)| score.total_cmp(other_score));
    best.map(|(_, mean)| mean)
}
