use crate::clock::Time;
use std::time::Duration;

/// Consecutive failures after which an upstream is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Weight of the newest outcome in the moving average of failures.
const FAILURE_RATIO_WEIGHT: f64 = 0.1;
/// Failure ratio from which an upstream is ejected, once [`MIN_OUTCOMES`] are recorded.
const EJECTION_FAILURE_RATIO: f64 = 0.5;
/// Minimum number of outcomes for an ejection by failure ratio.
const MIN_OUTCOMES: u32 = 10;
/// Initial backoff before an ejected upstream gets a probe task.
const INITIAL_EJECTION_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum backoff between probe tasks.
const MAX_EJECTION_BACKOFF: Duration = Duration::from_secs(60);
/// Initial backoff after a failed connection attempt. It is short because no task is lost.
const INITIAL_CONNECT_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff between connection attempts.
const MAX_CONNECT_BACKOFF: Duration = Duration::from_secs(5);
/// Consecutive probe tasks that must succeed before an ejection ends.
const REQUIRED_PROBE_SUCCESSES: u32 = 2;

/// Eligibility of an upstream for tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// Gets tasks.
    Healthy,
    /// Gets no tasks until the given time, after failures.
    Ejected(Time),
    /// Gets one probe task at a time, of least worth.
    Probing,
    /// Gets no tasks until the given time, after a failed connection attempt.
    Unreachable(Time),
}

/// Tracks the outcomes of one upstream's tasks and decides on its ejection.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    /// Moving average of the outcomes, where a failure counts as 1 and a success as 0.
    failure_ratio: f64,
    /// Number of recorded outcomes.
    outcomes: u32,
    consecutive_failures: u32,
    /// Earliest time of the next probe task; `None` if the upstream is not ejected.
    ejected_until: Option<Time>,
    ejection_backoff: Duration,
    probe_successes: u32,
    unreachable_until: Time,
    connect_backoff: Duration,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            failure_ratio: 0.0,
            outcomes: 0,
            consecutive_failures: 0,
            ejected_until: None,
            ejection_backoff: INITIAL_EJECTION_BACKOFF,
            probe_successes: 0,
            unreachable_until: Time::ZERO,
            connect_backoff: INITIAL_CONNECT_BACKOFF,
        }
    }
}

impl Health {
    /// Returns the upstream's eligibility at `now`.
    pub fn eligibility(&self, now: Time) -> Eligibility {
        if now < self.unreachable_until {
            return Eligibility::Unreachable(self.unreachable_until);
        }
        match self.ejected_until {
            None => Eligibility::Healthy,
            Some(until) if now < until => Eligibility::Ejected(until),
            Some(_) => Eligibility::Probing,
        }
    }

    /// Whether the upstream is ejected; true also while it is being probed.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records a failed connection attempt. It does not count as a failure, as no task is lost.
    pub fn record_unreachable(&mut self, now: Time) {
        self.unreachable_until = now + self.connect_backoff;
        self.connect_backoff = (2 * self.connect_backoff).min(MAX_CONNECT_BACKOFF);
    }

    /// Records a success; enough successes of probe tasks in a row end the ejection.
    pub fn record_success(&mut self, now: Time) {
        self.connect_backoff = INITIAL_CONNECT_BACKOFF;
        self.record_outcome(0.0);
        self.consecutive_failures = 0;
        if self.eligibility(now) != Eligibility::Probing {
            return;
        }
        self.probe_successes += 1;
        if self.probe_successes >= REQUIRED_PROBE_SUCCESSES {
            *self = Health::default();
        }
    }

    /// Records a failure. Returns whether the upstream should be ejected now.
    ///
    /// After a failed probe task it stays ejected, with twice the backoff, and the result is false.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.record_outcome(1.0);
        self.consecutive_failures += 1;
        if self.eligibility(now) == Eligibility::Probing {
            self.ejection_backoff = (self.ejection_backoff * 2).min(MAX_EJECTION_BACKOFF);
            self.ejected_until = Some(now + self.ejection_backoff);
            self.probe_successes = 0;
            return false;
        }
        let by_ratio =
            self.outcomes >= MIN_OUTCOMES && self.failure_ratio >= EJECTION_FAILURE_RATIO;
        !self.is_ejected() && (by_ratio || self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES)
    }

    /// Ejects the upstream for the current backoff.
    pub fn eject(&mut self, now: Time) {
        self.ejected_until = Some(now + self.ejection_backoff);
        self.probe_successes = 0;
    }

    /// Adds an outcome: 1 for a failure, 0 for a success.
    fn record_outcome(&mut self, failed: f64) {
        self.outcomes = self.outcomes.saturating_add(1);
        self.failure_ratio += FAILURE_RATIO_WEIGHT * (failed - self.failure_ratio);
    }
}
