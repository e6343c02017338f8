//! Events of accepted jobs: their tasks start, end or are given up.

use super::{CheckResult, Disabled, REFUSAL_HOLD_MS, Reply, World};
use heathertrack::run::ExecutionStatus;
use std::time::Duration;

impl World {
    /// Sends the first byte of a job's task, which counts as its start.
    pub(super) fn start(&mut self, job: usize) -> CheckResult {
        let Some(job) = self.open_job(job) else {
            return Ok(());
        };
        if self.jobs[job].started || !self.jobs[job].handover.try_hand_over() {
            return Ok(());
        }
        self.jobs[job].started = true;
        let known = &mut self.keys[self.jobs[job].key];
        known.starts += 1;
        if known.starts > 1 {
            return Err(format!("{:?} started twice", known.key));
        }
        if known.cancelled {
            return Err(format!("{:?} started after it was reported as cancelled", known.key));
        }
        Ok(())
    }

    /// Returns a job without an outcome whose process is not frozen.
    fn open_job(&mut self, job: usize) -> Option<usize> {
        if self.jobs.is_empty() {
            return None;
        }
        let job = job % self.jobs.len();
        let acting = self.process_of(job).is_some_and(|process| !process.frozen);
        (acting && self.jobs[job].reply.is_none()).then_some(job)
    }

    /// Ends a started job with an answer.
    pub(super) fn end(&mut self, job: usize) {
        let Some(job) = self.open_job(job) else {
            return;
        };
        if self.jobs[job].started {
            self.jobs[job].reply = Some(Reply::Answer(job));
            self.store_outcome(job, false);
        }
    }

    /// Fails a job: its deadline passed, a task failed, or it was cancelled.
    pub(super) fn give_up(&mut self, job: usize) -> CheckResult {
        let Some(job) = self.open_job(job) else { return Ok(()) };
        let run = self.jobs[job].handover.close();
        let not_run = run == ExecutionStatus::NotRun || self.disabled == Disabled::HandoverTracker;
        let cancelled = self.jobs[job].cancelled;
        self.jobs[job].reply = Some(match (not_run, cancelled) {
            (true, true) => Reply::Cancelled,
            (true, false) => Reply::NotRun { at_ms: self.now_ms },
            (false, _) => Reply::MayHaveRun,
        });
        if not_run && self.keys[self.jobs[job].key].starts > 0 {
            return Err(format!("job {job} was reported as not run, but has run"));
        }
        self.store_outcome(job, not_run && !cancelled);
        Ok(())
    }

    /// Stores the outcome of a job in its home: as a refusal if nothing ran and the key may be
    /// submitted again, otherwise as an answer of one byte.
    fn store_outcome(&mut self, job: usize, refused: bool) {
        let now_ms = self.now_ms;
        let key = self.keys[self.jobs[job].key].key.clone();
        let Some(process) = self.process_of(job) else {
            return;
        };
        if refused {
            let until = process.clocks(now_ms).now + Duration::from_millis(REFUSAL_HOLD_MS);
            process.submissions.refuse(&key, job, until);
        } else {
            process.submissions.finish(&key, job, 1);
        }
    }
}
