use super::Pool;
use crate::clock::Time;
use crate::pool::job::{Job, Step};
use crate::pool::order::Rank;
use crate::pool::placement::Choice;
use crate::pool::run::{Run, State};
use crate::pool::upstream::Upstream;
use crate::pool::{Decision, Effect, JobKey, Task, UpstreamKey};
use std::time::Duration;

/// Factor by which a task takes longer on another rack than that of its data, at most (`far_x` of
/// the users' pages).
const FAR_FACTOR: f64 = 2.0;

impl Pool {
    /// Starts queued tasks by rank wherever capacity is free.
    pub(super) fn place(&mut self, now: Time) {
        let mut most = self.most_free(now);
        if most == 0 {
            return;
        }
        for (_, key) in self.waiting(now) {
            while let Some((step, index)) = self.next_fit(key, most) {
                if !self.place_task(key, step, index, now) {
                    break;
                }
                most = self.most_free(now);
                if most == 0 {
                    return;
                }
            }
        }
    }

    /// Returns the jobs with tasks to start, sorted by rank.
    fn waiting(&self, now: Time) -> Vec<(Rank, JobKey)> {
        let waits = |(_, job): &(JobKey, &Job)| job.startable().next().is_some();
        let ranked = |(key, job): (JobKey, &Job)| (self.options.order.rank(job, now), key);
        let mut waiting: Vec<_> = self.jobs.iter().filter(waits).map(ranked).collect();
        waiting.sort_unstable();
        waiting
    }

    /// Returns the largest free CPU of an upstream that accepts starts, in thousandths of a core.
    fn most_free(&self, now: Time) -> u32 {
        let free = |upstream: &Upstream| upstream.free().cpu;
        let upstreams = self.upstreams.values().filter(|upstream| upstream.accepts_starts(now));
        upstreams.map(free).max().unwrap_or(0)
    }

    /// Returns the first startable task, as step and index, that takes at most `most` CPU.
    fn next_fit(&self, key: JobKey, most: u32) -> Option<(usize, usize)> {
        let job = self.jobs.get(key)?;
        job.startable().find(|(step, _)| job.request.steps[*step].needs.cpu <= most)
    }

    fn place_task(&mut self, key: JobKey, step: usize, index: usize, now: Time) -> bool {
        let Some(job) = self.jobs.get(key) else { return false };
        let Some(upstream) = self.choose(job, step, index, now) else { return false };
        let expected = self.expected(job, &job.request.steps[step], upstream);
        self.start(key, step, index, upstream, expected, now)
    }

    fn choose(&self, job: &Job, step: usize, index: usize, now: Time) -> Option<UpstreamKey> {
        let wants = &job.request.steps[step];
        let avoid = &job.steps[step][index].avoid;
        let left = job.wanted().since(now);
        let choices = self.upstreams.iter().filter(|(key, upstream)| {
            upstream.accepts_starts(now)
                && upstream.record.service == job.request.service
                && wants.needs.fits(&upstream.free())
                && wants.label.as_ref().is_none_or(|label| upstream.has_label(label))
                && self.below_bound(job, step, *key)
        });
        let choices: Vec<_> = choices.collect();
        // An upstream in `avoid` is used again only if no other has enough capacity.
        let others = choices.iter().any(|(key, _)| !avoid.contains(key));
        let choices = choices.iter().filter(|(key, _)| !others || !avoid.contains(key));
        let choices = choices.map(|(key, upstream)| Choice {
            key: *key,
            duration: self.expected(job, wants, *key),
            spare: upstream.free().cpu - wants.needs.cpu,
        });
        self.options.placement.choose(choices, left)
    }

    /// Returns whether the step's limit of tasks on one upstream leaves room for another task.
    fn below_bound(&self, job: &Job, step: usize, upstream: UpstreamKey) -> bool {
        let bound = job.request.steps[step].max_per_upstream;
        if bound == 0 {
            return true;
        }
        let there = job.steps[step].iter().filter_map(|task| self.runs.get(task.run?));
        (there.filter(|run| run.upstream == upstream).count() as u32) < bound
    }

    /// Returns the expected duration of a task on an upstream.
    fn expected(&self, job: &Job, step: &Step, upstream: UpstreamKey) -> Duration {
        let usual = self.durations.expected(&job.request.class, step.estimate);
        let Some(upstream) = self.upstreams.get(upstream) else { return usual };
        let far = step.near.as_ref().is_some_and(|rack| !upstream.has_label(rack));
        let expected = upstream.speed.stretch(usual);
        if far { expected.mul_f64(FAR_FACTOR) } else { expected }
    }

    fn start(
        &mut self,
        key: JobKey,
        step: usize,
        index: usize,
        upstream_key: UpstreamKey,
        expected: Duration,
        now: Time,
    ) -> bool {
        let lease = self.options.lease;
        let Some(upstream) = self.upstreams.get_mut(upstream_key) else { return false };
        let Some(until_ms) = upstream.renew_lease(lease, now) else { return false };
        let Some(job) = self.jobs.get_mut(key) else { return false };
        job.begun = true;
        let progress = &mut job.steps[step][index];
        progress.last_number += 1;
        let number = progress.last_number;
        let needs = job.request.steps[step].needs;
        let task = Task {
            job: job.request.id.clone(),
            occurrence: 0,
            step: step as u32,
            index: index as u32,
        };
        let run = self.runs.insert(Run {
            task: task.clone(),
            number,
            job: Some(key),
            upstream: upstream_key,
            needs,
            state: State::Starting,
            ordered: now,
            expected,
            settled: None,
            unchecked: false,
            seen: false,
            shared: self.has_rivals,
            stop_attempts: 0,
            percent: 0,
            percent_since: now,
        });
        progress.run = Some(run);
        upstream.used.add(&needs);
        upstream.runs.push(run);
        self.tasks.insert((task.clone(), number), run);
        self.effects.push(Effect::Note(Decision::Placed {
            task: task.clone(),
            number,
            upstream: upstream.record.name.clone(),
            expected,
            speed: upstream.speed.factor(),
            heard: now.since(upstream.last_answer),
            age: now.since(job.request.received),
        }));
        let spec = job.request.spec.clone();
        let upstream = upstream_key;
        self.effects.push(Effect::Start { upstream, run, task, number, spec, until_ms });
        true
    }
}
