use super::Pool;
use crate::clock::Time;
use crate::pool::job::Outcome;
use crate::pool::job::Progress;
use crate::pool::run::{Run, State};
use crate::pool::{Decision, Effect, Ended, JobKey, RunKey, StartAnswer};
use std::time::Duration;

/// Time without starts after an upstream had no room that was counted on: another dispatcher's runs
/// are there, about as long as a short task.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// What a run's number is raised by when the upstream knows a higher one from an earlier submission
/// of the job.
const NUMBER_STEP: u32 = 16;
/// Orders to stop a run without answer, after which its upstream's lease is left to lapse.
pub(super) const STOP_ATTEMPTS: u32 = 2;

impl Pool {
    /// Takes the answer to an order to start. `clock_ms` is the upstream's clock, if it gave it.
    pub fn started(&mut self, key: RunKey, answer: StartAnswer, clock_ms: Option<u64>, now: Time) {
        let Some(run) = self.runs.get_mut(key) else { return };
        let upstream_key = run.upstream;
        if let (Some(clock_ms), Some(upstream)) = (clock_ms, self.upstreams.get_mut(upstream_key)) {
            upstream.read_clock(clock_ms, now);
        }
        match answer {
            StartAnswer::Running => {
                run.seen = true;
                // A run that is being stopped settles with the answer to the stop.
                if run.state == State::Starting {
                    run.state = State::Running;
                    run.settled = Some(now);
                    run.percent_since = now;
                }
                self.look_soon(upstream_key, now);
            }
            StartAnswer::NoRoom => {
                if let Some(upstream) = self.upstreams.get_mut(upstream_key) {
                    upstream.full_until = now + FULL_PAUSE;
                }
                self.never_ran(key, 0);
            }
            StartAnswer::OldNumber => self.never_ran(key, NUMBER_STEP),
            StartAnswer::TooLate => self.never_ran(key, 0),
            StartAnswer::Unwell => {
                if let Some(upstream) = self.upstreams.get_mut(upstream_key) {
                    upstream.full_until = now + self.options.retry;
                }
                self.never_ran(key, 0);
            }
            StartAnswer::Replaced => {
                self.replaced(upstream_key, now);
            }
            StartAnswer::Unsent => {
                self.note_mute(upstream_key, now);
                self.never_ran(key, 0);
            }
            StartAnswer::Unknown => {
                self.note_mute(upstream_key, now);
                if self.options.stops_unanswered {
                    self.stop(key);
                } else {
                    self.never_ran(key, 0);
                }
            }
        }
        self.place(now);
    }

    /// Takes the answer to an order to stop: whether the upstream confirmed it.
    pub fn stopped(&mut self, key: RunKey, confirmed: bool, clock_ms: Option<u64>, now: Time) {
        let Some(run) = self.runs.get_mut(key) else { return };
        let upstream_key = run.upstream;
        if confirmed {
            run.settled = Some(now + self.options.stop);
            // An end wakes the look that waits; a run that never began has none.
            run.unchecked = !run.seen;
            if let Some(upstream) = self.upstreams.get_mut(upstream_key) {
                if let Some(clock_ms) = clock_ms {
                    upstream.read_clock(clock_ms, now);
                }
                upstream.look_due = now;
            }
            self.look(upstream_key, now);
            return;
        }
        run.stop_attempts += 1;
        let (task, number) = (run.task.clone(), run.number);
        self.note_mute(upstream_key, now);
        self.effects.push(Effect::Stop { upstream: upstream_key, run: key, task, number });
    }

    /// The run never began and never will.
    fn never_ran(&mut self, key: RunKey, raise: u32) {
        let Some(run) = self.take_run(key) else { return };
        let Some(job) = run.job.and_then(|job| self.jobs.get_mut(job)) else { return };
        let progress = &mut job.steps[run.task.step as usize][run.task.index as usize];
        progress.run = None;
        progress.last_number += raise;
        // Whether the job has begun: a start that was refused has not run.
        let untouched = |task: &Progress| task.run.is_none() && !task.done && task.failures == 0;
        if job.steps.iter().flatten().all(untouched) && !job.ran {
            job.begun = false;
        }
    }

    /// Takes a run off its upstream and out of its job's task.
    pub(super) fn take_run(&mut self, key: RunKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        self.tasks.remove(&(run.task.clone(), run.number));
        if let Some(upstream) = self.upstreams.get_mut(run.upstream) {
            upstream.runs.retain(|other| *other != key);
            upstream.used = upstream.used.without(&run.needs);
        }
        Some(run)
    }

    /// A run is over.
    pub(super) fn ended(&mut self, key: RunKey, how: Ended, now: Time) {
        let Some(run) = self.take_run(key) else { return };
        self.ends[how as usize] += 1;
        let age = now.since(run.ordered);
        if how != Ended::Done
            && let Some(upstream) = self.upstreams.get(run.upstream)
            && run.job.is_some()
        {
            self.effects.push(Effect::Note(Decision::RunEnded {
                task: run.task.clone(),
                number: run.number,
                upstream: upstream.record.name.clone(),
                how: how.name(),
                age,
            }));
        }
        self.judge_upstream(&run, how, now);
        let Some(job_key) = run.job else { return };
        let Some(job) = self.jobs.get_mut(job_key) else { return };
        job.ran = true;
        let progress = &mut job.steps[run.task.step as usize][run.task.index as usize];
        progress.run = None;
        match how {
            Ended::Done => {
                progress.done = true;
                job.durations.push((run.upstream, age.as_secs_f64().max(1e-4).ln()));
                if job.is_done() {
                    self.end(job_key, Outcome::Completed, now);
                }
            }
            Ended::Failed => {
                progress.failures += 1;
                progress.avoid.push(run.upstream);
                let failures = progress.failures;
                if failures >= job.request.max_attempts {
                    let task = run.task.clone();
                    self.effects.push(Effect::Note(Decision::TaskFailed { task, failures }));
                    self.end(job_key, Outcome::Failed, now);
                }
            }
            Ended::Stopped | Ended::Lapsed | Ended::Gone => progress.avoid.push(run.upstream),
        }
    }

    /// Learns about the upstream from the end of a run.
    fn judge_upstream(&mut self, run: &Run, how: Ended, now: Time) {
        let age = now.since(run.ordered);
        let Some(upstream) = self.upstreams.get_mut(run.upstream) else { return };
        match how {
            Ended::Done => {
                if upstream.health.succeeded() {
                    self.note_upstream(run.upstream, "works again", now);
                }
                self.learn_duration(run, age);
            }
            Ended::Failed => {
                if upstream.health.failed(run.job, now) {
                    self.note_upstream(run.upstream, "fails what it starts", now);
                }
            }
            Ended::Stopped | Ended::Lapsed | Ended::Gone => {}
        }
    }

    fn learn_duration(&mut self, run: &Run, age: Duration) {
        let Some(job) = run.job.and_then(|job| self.jobs.get(job)) else { return };
        let Some(upstream) = self.upstreams.get_mut(run.upstream) else { return };
        let class = job.request.class.clone();
        let declared = job.request.steps[run.task.step as usize].estimate;
        let usual = self.durations.expected(&class, declared).as_secs_f64().max(1e-4).ln();
        let taken = age.as_secs_f64().max(1e-4).ln();
        upstream.speed.declare(usual - taken);
        let ratio = taken + upstream.speed.log() - declared.as_secs_f64().max(1e-4).ln();
        self.durations.note(&class, ratio);
    }

    /// Ends all jobs of which the caller's host can't be reached any more.
    pub fn abandon(&mut self, jobs: impl IntoIterator<Item = JobKey>, now: Time) {
        if !self.options.abandons {
            return;
        }
        for job in jobs {
            self.end(job, Outcome::MayHaveRun("its entry host is gone"), now);
        }
        self.place(now);
    }
}
