//! Which submitted jobs are taken.

use super::Pool;
use crate::clock::Time;
use crate::pool::job::{EVACUATED, Job, Request, SHORTAGE};
use crate::pool::shortage::{Arrival, Room};
use crate::pool::{Decision, Effect, Load, admission};
use std::time::Duration;

impl Pool {
    /// Returns why a job has to be refused on submission, if so, and its expected wait from now.
    pub(super) fn refusal(
        &self,
        job: &Job,
        load: &Load,
        core_seconds_ahead: f64,
        now: Time,
    ) -> Option<(&'static str, Duration)> {
        let expected = admission::expected_wait(load, core_seconds_ahead);
        if !self.could_run(job) {
            return Some(match self.evacuated_upstreams() {
                0 => ("no upstream can hold a task", expected),
                // Another dispatcher may take it at once.
                _ => (EVACUATED, Duration::ZERO),
            });
        }
        let max_wait = self.max_start_wait(&job.request);
        let waited = now.since(job.request.received);
        (waited.saturating_add(expected) > max_wait).then_some(("the queue is too long", expected))
    }

    /// Returns why a job has to be refused although it could be started in time, if so, and its
    /// expected wait: more arrives than can be started, and its kind has had its share.
    pub(super) fn shortage_refusal(
        &mut self,
        job: &Job,
        load: &Load,
        now: Time,
    ) -> Option<(&'static str, Duration)> {
        if self.upstreams.len() < self.options.min_upstreams_for_shares {
            return None;
        }
        let room = Room {
            cores: load.cores,
            queued: load.queued_core_seconds,
            fits_now: self.fits_now(job, now),
        };
        let was_short = self.shortage.is_short();
        let arrival = Arrival { class: &job.request.class, work: job.queued_work() };
        let is_taken = self.shortage.admits(arrival, room, now);
        if was_short != self.shortage.is_short() {
            self.effects.push(Effect::Log(Decision::Shortage {
                excess: self.shortage.excess(),
                offered: self.shortage.offered(now),
                drain: self.shortage.drain(room.cores, now),
                queued: room.queued,
            }));
        }
        let expected = admission::expected_wait(load, room.queued);
        (!is_taken).then_some((SHORTAGE, expected))
    }

    /// Returns the share of the work that arrives that is turned away; 0 without a shortage.
    pub fn turned_away_share(&self) -> f64 {
        self.shortage.excess()
    }

    /// Returns whether all tasks of a new job that can be started fit into what is free.
    fn fits_now(&self, job: &Job, now: Time) -> bool {
        let ready = (0..job.steps.len()).filter(|step| job.is_ready(*step));
        ready.map(|index| &job.request.steps[index]).all(|step| {
            let usable = self.upstreams.values().filter(|upstream| {
                upstream.accepts_starts(now) && upstream.can_hold(&job.request.service, step)
            });
            let fitting = usable.map(|upstream| u64::from(step.needs.count_in(&upstream.free())));
            fitting.sum::<u64>() >= u64::from(step.count)
        })
    }

    /// Returns whether each task that is not done and doesn't run could run on some known upstream if
    /// that were empty.
    pub(super) fn could_run(&self, job: &Job) -> bool {
        job.unfinished_steps().all(|step| {
            let mut upstreams = self.upstreams.values().filter(|upstream| !upstream.is_evacuated);
            upstreams.any(|upstream| upstream.can_hold(&job.request.service, step))
        })
    }

    /// Returns how long after its receipt a job may wait for the start of its first task.
    pub fn max_start_wait(&self, request: &Request) -> Duration {
        // During a shortage, what is free goes to jobs that can be in time.
        let share = if self.shortage.is_short() {
            self.options.prompt_wait_share.min(self.options.max_wait_share)
        } else {
            self.options.max_wait_share
        };
        request.objective.mul_f64(share)
    }
}
