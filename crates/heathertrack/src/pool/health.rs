use super::JobKey;
use crate::clock::Time;
use std::time::Duration;

/// Number of consecutive failures, of different jobs, that ejects an upstream. One alone is as
/// likely the job's own fault.
const FAILURES: u32 = 2;
/// Number of stalled runs that ejects an upstream.
const STALLS: u32 = 1;
/// Duration of the first ejection; doubles with each failed probe run.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// Health of an upstream, judged by its runs.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    last_failed: Option<JobKey>,
    stalls: u32,
    out_until: Option<Time>,
    pause: Duration,
}

impl Health {
    /// Returns whether the upstream is ejected now.
    pub fn is_out(&self, now: Time) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }

    /// Returns whether a run may be started beside `running` others. After an ejection, probe runs
    /// are started one at a time.
    pub fn admits(&self, now: Time, running: usize) -> bool {
        !self.is_out(now) && (self.out_until.is_none() || running == 0)
    }

    /// Records a completed run. Returns whether it ends an ejection or the probing after one.
    pub fn succeeded(&mut self) -> bool {
        let was_out = self.out_until.is_some();
        *self = Health::default();
        was_out
    }

    /// Records a failed run of a job. Returns whether it ejects the upstream.
    pub fn failed(&mut self, job: Option<JobKey>, now: Time) -> bool {
        if job.is_none() || self.last_failed != job {
            self.failures += 1;
        }
        self.last_failed = job;
        let limit = if self.out_until.is_some() { 1 } else { FAILURES };
        self.failures >= limit && self.leave_out(now)
    }

    /// Records a stalled run. Returns whether it ejects the upstream.
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
