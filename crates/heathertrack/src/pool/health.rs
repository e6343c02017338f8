use super::JobKey;
use crate::clock::Time;
use std::time::Duration;

/// Number of failures of different jobs that ejects an upstream, counted since its last completed
/// run. A single failure is as likely the job's own fault.
const EJECTING_FAILURES: u32 = 2;
/// Number of stalled runs that ejects an upstream, counted since its last completed run.
const EJECTING_STALLS: u32 = 1;
/// Duration of the first ejection; doubles with each failed probe run.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(8);

/// Health of an upstream, judged by its runs.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// Number of failures that count, since the last completed run or ejection.
    failures: u32,
    last_failed_job: Option<JobKey>,
    /// Number of stalled runs since the last completed run or ejection.
    stalls: u32,
    /// End of the last ejection; kept until a run completes.
    ejected_until: Option<Time>,
    /// Duration of the last ejection.
    ejection: Duration,
}

impl Health {
    /// Returns whether the upstream is ejected now.
    pub fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether a run may be started beside `running` others. After an ejection, probe runs
    /// are started one at a time until one completes.
    pub fn admits(&self, now: Time, running: usize) -> bool {
        !self.is_ejected(now) && (self.ejected_until.is_none() || running == 0)
    }

    /// Records a completed run. Returns whether the upstream was ejected or probed.
    pub fn succeeded(&mut self) -> bool {
        let was_ejected = self.ejected_until.is_some();
        *self = Health::default();
        was_ejected
    }

    /// Records a failed run; `job` is `None` if its job has ended before. Returns whether it ejects
    /// the upstream.
    pub fn failed(&mut self, job: Option<JobKey>, now: Time) -> bool {
        // Consecutive failures of one job count once.
        if job.is_none() || self.last_failed_job != job {
            self.failures += 1;
        }
        self.last_failed_job = job;
        // The failure of a probe run ejects the upstream again.
        let limit = if self.ejected_until.is_some() { 1 } else { EJECTING_FAILURES };
        self.failures >= limit && self.eject(now)
    }

    /// Records a stalled run. Returns whether it ejects the upstream.
    pub fn stalled(&mut self, now: Time) -> bool {
        self.stalls += 1;
        self.stalls >= EJECTING_STALLS && self.eject(now)
    }

    /// Ejects the upstream, for twice as long as the last time. Returns false if it is ejected now.
    fn eject(&mut self, now: Time) -> bool {
        if self.is_ejected(now) {
            return false;
        }
        self.ejection = (self.ejection * 2).clamp(MIN_EJECTION, MAX_EJECTION);
        self.ejected_until = Some(now + self.ejection);
        self.failures = 0;
        self.stalls = 0;
        true
    }
}
