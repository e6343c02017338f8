use crate::clock::Time;
use std::time::Duration;

/// Consecutive failures after which an upstream is ejected.
const FAILURES_IN_A_ROW: u32 = 3;
/// Weight of the newest outcome in the moving average of failures.
const NEWEST_WEIGHT: f64 = 0.1;
/// Failure ratio from which an upstream is ejected, once [`ENOUGH_OUTCOMES`] are recorded.
const EJECTING_RATIO: f64 = 0.5;
/// Minimum number of outcomes for an ejection by failure ratio.
const ENOUGH_OUTCOMES: u32 = 10;
/// Initial backoff before an ejected upstream gets a probe task.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Maximum backoff between probe tasks.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);
/// Initial backoff after a refused connection. It is short because no task is lost by one.
const FIRST_UNREACHABLE: Duration = Duration::from_millis(50);
/// Maximum backoff between connection attempts.
const LONGEST_UNREACHABLE: Duration = Duration::from_secs(5);
/// Consecutive probe tasks that must succeed before an ejection ends.
const TRIALS: u32 = 2;

/// Eligibility of an upstream for tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Gets tasks.
    Good,
    /// Gets no tasks until the given time, after failures.
    Ejected(Time),
    /// Gets one probe task at a time, of least worth.
    OnTrial,
    /// Gets no tasks until the given time, after a failed connection attempt.
    Unreachable(Time),
}

/// Tracks the outcomes of one upstream's tasks and decides on its ejection.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    failure_ratio: f64,
    outcomes: u32,
    failures_in_a_row: u32,
    ejected_until: Option<Time>,
    pause: Duration,
    successes_on_trial: u32,
    unreachable_until: Time,
    unreachable_pause: Duration,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            failure_ratio: 0.0,
            outcomes: 0,
            failures_in_a_row: 0,
            ejected_until: None,
            pause: FIRST_PAUSE,
            successes_on_trial: 0,
            unreachable_until: Time::ZERO,
            unreachable_pause: FIRST_UNREACHABLE,
        }
    }
}

impl Health {
    /// Returns the upstream's eligibility at `now`.
    pub fn standing(&self, now: Time) -> Standing {
        if now < self.unreachable_until {
            return Standing::Unreachable(self.unreachable_until);
        }
        match self.ejected_until {
            None => Standing::Good,
            Some(until) if now < until => Standing::Ejected(until),
            Some(_) => Standing::OnTrial,
        }
    }

    /// Whether the upstream is ejected; true also while it is being probed.
    pub fn is_out(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records a failed connection attempt. It does not count as a failure, as no task is lost.
    pub fn miss(&mut self, now: Time) {
        self.unreachable_until = now + self.unreachable_pause;
        self.unreachable_pause = (2 * self.unreachable_pause).min(LONGEST_UNREACHABLE);
    }

    /// Records a success; enough consecutive probe successes end the ejection.
    pub fn succeed(&mut self, now: Time) {
        self.unreachable_pause = FIRST_UNREACHABLE;
        self.note(0.0);
        self.failures_in_a_row = 0;
        if self.standing(now) != Standing::OnTrial {
            return;
        }
        self.successes_on_trial += 1;
        if self.successes_on_trial >= TRIALS {
            *self = Health::default();
        }
    }

    /// Records a failure. Returns whether the upstream should be ejected now.
    pub fn fail(&mut self, now: Time) -> bool {
        self.note(1.0);
        self.failures_in_a_row += 1;
        if self.standing(now) == Standing::OnTrial {
            self.pause = (self.pause * 2).min(LONGEST_PAUSE);
            self.ejected_until = Some(now + self.pause);
            self.successes_on_trial = 0;
            return false;
        }
        let by_ratio = self.outcomes >= ENOUGH_OUTCOMES && self.failure_ratio >= EJECTING_RATIO;
        !self.is_out() && (by_ratio || self.failures_in_a_row >= FAILURES_IN_A_ROW)
    }

    /// Ejects the upstream for the current backoff.
    pub fn eject(&mut self, now: Time) {
        self.ejected_until = Some(now + self.pause);
        self.successes_on_trial = 0;
    }

    fn note(&mut self, failed: f64) {
        self.outcomes = self.outcomes.saturating_add(1);
        self.failure_ratio += NEWEST_WEIGHT * (failed - self.failure_ratio);
    }
}
