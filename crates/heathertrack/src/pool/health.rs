use super::JobKey;
use crate::clock::Time;
use std::time::Duration;

/// Failures in a row, of different jobs, after which an upstream is left out. One alone is as
/// likely the job's own fault.
const FAILURES: u32 = 2;
/// Tasks that stood still before an upstream is left out.
const STALLS: u32 = 1;
/// First time that an upstream is left out; doubles with each failed trial.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest time that an upstream is left out.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// Whether an upstream does what it starts.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    last_failed: Option<JobKey>,
    stalls: u32,
    out_until: Option<Time>,
    pause: Duration,
}

impl Health {
    /// Whether it is left out now.
    pub fn is_out(&self, now: Time) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }

    /// Whether one more run may be started beside `running`: one at a time on trial.
    pub fn admits(&self, now: Time, running: usize) -> bool {
        !self.is_out(now) && (self.out_until.is_none() || running == 0)
    }

    /// A run was done. Gives whether it is back by this.
    pub fn succeeded(&mut self) -> bool {
        let was_out = self.out_until.is_some();
        *self = Health::default();
        was_out
    }

    /// A run of a job failed. Gives whether it is left out by this.
    pub fn failed(&mut self, job: Option<JobKey>, now: Time) -> bool {
        if job.is_none() || self.last_failed != job {
            self.failures += 1;
        }
        self.last_failed = job;
        let limit = if self.out_until.is_some() { 1 } else { FAILURES };
        self.failures >= limit && self.leave_out(now)
    }

    /// A run stood still. Gives whether it is left out by this.
    pub fn stalled(&mut self, now: Time) -> bool {
        self.stalls += 1;
        self.stalls >= STALLS && self.leave_out(now)
    }

    fn leave_out(&mut self, now: Time) -> bool {
        if self.is_out(now) {
            return false;
        }
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.out_until = Some(now + self.pause);
        self.failures = 0;
        self.stalls = 0;
        true
    }
}
