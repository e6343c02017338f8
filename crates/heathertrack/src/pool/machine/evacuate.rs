//! Evacuation of data centres: nothing starts on their upstreams, and what waits for these moves away.
//!
//! Addresses the load pattern "a data centre is withdrawn at once while its queues are full": jobs that
//! have not begun go to another dispatcher before their callers would have had an answer here.

use super::Pool;
use crate::clock::Time;
use crate::name::DataCentre;
use crate::pool::JobKey;
use crate::pool::job::{EVACUATED, Job};
use std::time::Duration;

impl Pool {
    /// Sets whether the operators have evacuated a data centre. Its upstreams then take no starts; their
    /// runs go on to their end, and their leases are renewed.
    pub fn set_evacuated(&mut self, data_centre: &DataCentre, is_evacuated: bool, now: Time) {
        let has_changed = if is_evacuated {
            self.evacuated.insert(data_centre.clone())
        } else {
            self.evacuated.remove(data_centre)
        };
        if !has_changed {
            return;
        }
        let upstreams = self.upstreams.values_mut();
        for upstream in upstreams.filter(|upstream| upstream.record.data_centre == *data_centre) {
            upstream.is_evacuated = is_evacuated;
        }
        self.end_displaced_jobs(now);
        self.return_excess_jobs(now);
        self.place(now);
    }

    /// Returns the number of upstreams in evacuated data centres that this dispatcher knows.
    pub fn evacuated_upstreams(&self) -> usize {
        self.upstreams.values().filter(|upstream| upstream.is_evacuated).count()
    }

    /// Ends jobs with a task that only upstreams of evacuated data centres could run.
    pub(super) fn end_displaced_jobs(&mut self, now: Time) {
        if self.evacuated_upstreams() == 0 {
            return;
        }
        let is_displaced = |(_, job): &(JobKey, &Job)| !self.could_run(job);
        let displaced: Vec<JobKey> =
            self.jobs.iter().filter(is_displaced).map(|(key, _)| key).collect();
        for key in displaced {
            let Some(job) = self.jobs.get(key) else { continue };
            if job.has_started || job.has_ended_run {
                self.give_up(key, EVACUATED, now);
            } else {
                self.refuse(key, EVACUATED, Duration::ZERO, now);
            }
        }
    }

    /// Returns jobs that have not begun and that would be refused if they were submitted now: upstreams
    /// in other data centres are left, but too few.
    fn return_excess_jobs(&mut self, now: Time) {
        if self.evacuated_upstreams() == 0 {
            return;
        }
        let mut waiting: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.has_started && !job.has_ended_run)
            .map(|(key, job)| (self.rank(job, now), key))
            .collect();
        // The last in rank are returned first, so that those before them keep what is left.
        waiting.sort_unstable();
        for (_, key) in waiting.into_iter().rev() {
            let Some(job) = self.jobs.get(key) else { continue };
            let load = self.load(now);
            if self.refusal(job, &load, self.work_ahead(job, now), now).is_some() {
                self.refuse(key, EVACUATED, Duration::ZERO, now);
            }
        }
    }
}
