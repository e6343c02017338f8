use crate::clock::Time;
use std::time::Duration;

/// Failures in a row that eject an upstream.
const FAILURES_IN_A_ROW: u32 = 3;
/// Weight of the newest outcome in the failure ratio.
const NEWEST_WEIGHT: f64 = 0.1;
/// Failure ratio that ejects an upstream once enough outcomes are known.
const EJECTING_RATIO: f64 = 0.5;
/// Outcomes needed before the ratio counts.
const ENOUGH_OUTCOMES: u32 = 10;
/// First pause before an ejected upstream gets a trial task.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause between trial tasks.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);
/// First pause after a connection was refused; nothing was lost by it but a moment.
const FIRST_UNREACHABLE: Duration = Duration::from_millis(50);
/// Longest pause between attempts to reach an upstream.
const LONGEST_UNREACHABLE: Duration = Duration::from_secs(5);
/// Trial tasks in a row that must succeed.
const TRIALS: u32 = 2;

/// Whether an upstream may get tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It gets tasks.
    Good,
    /// It gets nothing until then.
    Ejected(Time),
    /// It gets one task at a time, of little worth.
    OnTrial,
    /// It gets nothing until then, as it took no connection.
    Unreachable(Time),
}

/// Judges one upstream by how the tasks on it end.
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
    /// Whether the upstream may get tasks now.
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

    /// Whether it is ejected or on trial.
    pub fn is_out(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Notes that it took no connection. No task was lost by it, so this counts as no failure.
    pub fn miss(&mut self, now: Time) {
        self.unreachable_until = now + self.unreachable_pause;
        self.unreachable_pause = (2 * self.unreachable_pause).min(LONGEST_UNREACHABLE);
    }

    /// Notes a success; enough of them on trial let the upstream back.
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

    /// Notes a failure. Returns whether the upstream ought to be ejected now.
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

    /// Ejects the upstream.
    pub fn eject(&mut self, now: Time) {
        self.ejected_until = Some(now + self.pause);
        self.successes_on_trial = 0;
    }

    fn note(&mut self, failed: f64) {
        self.outcomes = self.outcomes.saturating_add(1);
        self.failure_ratio += NEWEST_WEIGHT * (failed - self.failure_ratio);
    }
}
