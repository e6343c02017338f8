//! Tasks that slow each other on one upstream.
//!
//! Addresses the load pattern "some tasks slow others beside them": a dispatcher learns from completed
//! runs which classes of jobs do, and starts their tasks apart where there is room
//! (docs/design/interference.md). Compared are tasks of one step, so that errors of its declared
//! duration cancel out, on upstreams of learned speed.

mod class;
mod fit;
mod presence;

use super::{JobKey, RunKey, UpstreamKey};
use crate::clock::Time;
use class::{Classes, Index, PerClass};
use fit::{Comparison, Estimate, Fit};
use presence::Presence;
use slotmap::SecondaryMap;
use std::sync::Arc;
use std::time::Duration;

pub use class::MAX_CLASSES;

/// Least slowdown, as a factor, for which tasks are kept apart. Below, a slower upstream costs the
/// task more than the neighbour.
const MIN_FACTOR: f64 = 1.1;
/// Number of standard errors by which the slowdown has to exceed [`MIN_FACTOR`] to be believed. There
/// are up to 256 pairs, each judged every few runs.
const BELIEF_ERRORS: f64 = 4.0;
/// Number of standard errors by which the slowdown of a believed pair has to exceed [`MIN_FACTOR`].
const DISBELIEF_ERRORS: f64 = 1.0;
/// Number of runs of a class between two judgements of its neighbours.
const JUDGEMENT_RUNS: u32 = 32;
/// Time after which a pair is forgotten if no tasks of it have run beside each other. What they do may
/// have changed.
const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(180);
/// Least mean number of neighbours of a run that counts as evidence of their class.
const MIN_EVIDENCE: f64 = 0.1;
/// Largest difference of the logarithm of the work of similar tasks that counts: a factor of two.
/// Larger ones may come from an upstream whose speed has just changed.
const MAX_LOG_DIFFERENCE: f64 = std::f64::consts::LN_2;
/// Largest such difference of the last run on an upstream whose speed counts as known: a factor of 1.5,
/// far beyond the 15% by which tasks of one step differ.
const MAX_SETTLED_DIFFERENCE: f64 = 0.405;
/// Least duration and work in seconds of which a logarithm is taken.
const MIN_SECONDS: f64 = 1e-4;

/// A class that is slowed by neighbours of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct Pair {
    /// The class whose tasks take longer.
    pub slowed: Arc<str>,
    /// The class of the neighbours.
    pub by: Arc<str>,
    /// Factor by which one neighbour makes them take longer.
    pub factor: f64,
    /// Standard error of the natural logarithm of the factor.
    pub error: f64,
    /// Whether such tasks are kept apart.
    pub is_believed: bool,
    /// Time since tasks of the pair last ran beside each other.
    pub evidence_age: Duration,
}

/// A run that is started.
#[derive(Clone, Copy, Debug)]
pub struct Start<'a> {
    /// Key of the run.
    pub run: RunKey,
    /// Upstream on which it is started.
    pub upstream: UpstreamKey,
    /// Class of its job.
    pub class: &'a Arc<str>,
    /// Expected duration on that upstream.
    pub expected: Duration,
    /// Natural logarithm of the upstream's learned speed.
    pub log_speed: f64,
}

/// Classes whose tasks are kept apart from those of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Conflicts {
    /// The class.
    of: Index,
    /// Bit set of the classes that its tasks are kept apart from.
    with: u16,
}

impl Conflicts {
    /// Returns whether there are none.
    pub fn is_empty(self) -> bool {
        self.with == 0
    }

    fn classes(self) -> impl Iterator<Item = Index> {
        (0..MAX_CLASSES).filter(move |class| self.with & (1 << class) != 0)
    }
}

/// What is learned of the neighbours of a class.
#[derive(Debug, Default)]
struct Learned {
    fit: Fit,
    estimates: PerClass<Estimate>,
    evidence_at: PerClass<Time>,
    is_believed: PerClass<bool>,
    /// Number of runs since the last judgement.
    new_runs: u32,
}

/// A completed run.
#[derive(Debug)]
struct Sample {
    step: u32,
    upstream: UpstreamKey,
    class: Index,
    /// Natural logarithm of its duration relative to the one that is usual for its step, at usual speed.
    log_ratio: f64,
    neighbours: PerClass<f64>,
}

/// What a dispatcher has learned of tasks that slow each other.
#[derive(Debug, Default)]
pub struct Interference {
    classes: Classes,
    /// What is learned of each class, by its index.
    learned: Vec<Learned>,
    /// Conflicts of each class, by its index.
    conflicts: PerClass<Conflicts>,
    upstreams: SecondaryMap<UpstreamKey, Presence>,
    /// Usual duration of each run in seconds, as a natural logarithm.
    log_usual: SecondaryMap<RunKey, f64>,
    /// Completed runs of the jobs in progress.
    samples: SecondaryMap<JobKey, Vec<Sample>>,
}

impl Interference {
    /// Records the start of a run.
    pub fn on_start(&mut self, start: Start<'_>, now: Time) {
        let Some(class) = self.admit(start.class, now) else { return };
        let expected = start.expected.as_secs_f64().max(MIN_SECONDS);
        self.log_usual.insert(start.run, expected.ln() + start.log_speed);
        let Some(entry) = self.upstreams.entry(start.upstream) else { return };
        entry.or_default().on_start(start.run, class, start.expected, now);
        self.classes.on_start(class, now);
    }

    /// Records the end of a run. `completed` is its job and step, if the task is done.
    pub fn on_end(
        &mut self,
        run: RunKey,
        upstream: UpstreamKey,
        completed: Option<(JobKey, u32)>,
        duration: Duration,
        now: Time,
    ) {
        let ended = self.upstreams.get_mut(upstream).and_then(|there| there.on_end(run, now));
        let Some((class, neighbours)) = ended else { return };
        self.classes.on_end(class);
        let Some(log_usual) = self.log_usual.remove(run) else { return };
        let Some((job, step)) = completed else { return };
        let log_ratio = duration.as_secs_f64().max(MIN_SECONDS).ln() - log_usual;
        let sample = Sample { step, upstream, class, log_ratio, neighbours };
        if let Some(entry) = self.samples.entry(job) {
            entry.or_default().push(sample);
        }
    }

    /// Removes a run that has not begun.
    pub fn on_discarded(&mut self, run: RunKey, upstream: UpstreamKey) {
        let discarded = self.upstreams.get_mut(upstream).and_then(|there| there.discard(run));
        if let Some(class) = discarded {
            self.classes.on_end(class);
            self.log_usual.remove(run);
        }
    }

    /// Handles the end of a job, and learns from its runs if `is_completed`. `log_speed` returns the
    /// natural logarithm of an upstream's learned speed, if it is known. Returns the pairs that are
    /// now believed, or no longer.
    pub fn on_job_ended(
        &mut self,
        job: JobKey,
        is_completed: bool,
        log_speed: impl Fn(UpstreamKey) -> Option<f64>,
        now: Time,
    ) -> Vec<Pair> {
        let Some(mut samples) = self.samples.remove(job) else { return Vec::new() };
        let Some(class) = samples.first().map(|sample| sample.class) else { return Vec::new() };
        // A class that has given way to another one meanwhile has no more runs to learn from.
        if !is_completed || samples.iter().any(|sample| sample.class != class) {
            return Vec::new();
        }
        samples.sort_by_key(|sample| sample.step);
        for step in samples.chunk_by(|one, other| one.step == other.step) {
            self.learn(class, step, &log_speed, now);
        }
        if self.learned[class].new_runs < JUDGEMENT_RUNS {
            return Vec::new();
        }
        self.judge(class, now)
    }

    /// Returns the classes from whose tasks those of a class are kept apart.
    pub fn conflicts(&self, class: &str) -> Conflicts {
        if self.conflicts.iter().all(|conflicts| conflicts.is_empty()) {
            return Conflicts::default();
        }
        self.classes.find(class).map_or(Conflicts::default(), |class| self.conflicts[class])
    }

    /// Returns the number of runs on an upstream that are kept apart from a class with these conflicts.
    pub fn count_conflicting(&self, upstream: UpstreamKey, conflicts: Conflicts) -> u32 {
        if conflicts.is_empty() {
            return 0;
        }
        let there = self.upstreams.get(upstream);
        there.map_or(0, |there| conflicts.classes().map(|class| there.count(class)).sum())
    }

    /// Returns the factor by which a task of a class with these conflicts takes longer beside the runs
    /// that are on an upstream now.
    pub fn slowdown(&self, upstream: UpstreamKey, conflicts: Conflicts) -> f64 {
        let (Some(there), Some(learned)) =
            (self.upstreams.get(upstream), self.learned.get(conflicts.of))
        else {
            return 1.0;
        };
        let slowing = conflicts.classes().filter(|by| learned.is_believed[*by]);
        let log_factor = |by: Index| learned.estimates[by].log_factor * f64::from(there.count(by));
        slowing.map(log_factor).sum::<f64>().exp()
    }

    /// Returns a class with runs on an upstream that are kept apart from a class with these conflicts.
    pub fn conflicting_class(
        &self,
        upstream: UpstreamKey,
        conflicts: Conflicts,
    ) -> Option<&Arc<str>> {
        let there = self.upstreams.get(upstream)?;
        let class = conflicts.classes().find(|class| there.count(*class) > 0)?;
        Some(self.classes.name(class))
    }

    /// Iterates over the pairs of which tasks have run beside each other.
    pub fn pairs(&self, now: Time) -> impl Iterator<Item = Pair> {
        let classes = 0..self.learned.len();
        let pairs =
            classes.clone().flat_map(move |slowed| classes.clone().map(move |by| (slowed, by)));
        let has_evidence =
            |(slowed, by): &(Index, Index)| self.learned[*slowed].evidence_at[*by] > Time::ZERO;
        pairs.filter(has_evidence).map(move |(slowed, by)| self.pair(slowed, by, now))
    }

    /// Returns the index of a class, and tracks it if there is room.
    fn admit(&mut self, name: &Arc<str>, now: Time) -> Option<Index> {
        if let Some(class) = self.classes.find(name) {
            return Some(class);
        }
        let (class, is_replacement) = self.classes.vacancy(now)?;
        self.classes.insert(class, name.clone(), now);
        if is_replacement {
            self.forget(class);
        } else {
            self.learned.push(Learned::default());
        }
        Some(class)
    }

    /// Forgets a class, whose index passes to another one.
    fn forget(&mut self, class: Index) {
        self.learned[class] = Learned::default();
        for learned in &mut self.learned {
            learned.forget(class);
        }
        self.update_conflicts();
    }

    /// Learns from the completed runs of one step.
    fn learn(
        &mut self,
        class: Index,
        samples: &[Sample],
        log_speed: impl Fn(UpstreamKey) -> Option<f64>,
        now: Time,
    ) {
        let log_work = |sample: &Sample| Some(sample.log_ratio + log_speed(sample.upstream)?);
        let mut log_works: Vec<f64> = samples.iter().filter_map(log_work).collect();
        log_works.sort_by(f64::total_cmp);
        let Some(median) = log_works.get(log_works.len() / 2).copied() else { return };
        let mut runs: Vec<Comparison> = Vec::with_capacity(samples.len());
        for sample in samples {
            let Some(difference) = log_work(sample).map(|log_work| log_work - median) else {
                continue;
            };
            let Some(there) = self.upstreams.get_mut(sample.upstream) else { continue };
            let was_settled = there.last_difference.abs() <= MAX_SETTLED_DIFFERENCE;
            there.last_difference = difference;
            if was_settled {
                let log_work = difference.clamp(-MAX_LOG_DIFFERENCE, MAX_LOG_DIFFERENCE);
                runs.push(Comparison { log_work, neighbours: sample.neighbours });
            }
        }
        if runs.len() < 2 {
            return;
        }
        subtract_means(&mut runs);
        let learned = &mut self.learned[class];
        learned.fit.add(&runs, self.classes.len(), now);
        learned.new_runs += runs.len() as u32;
        for by in 0..self.classes.len() {
            if samples.iter().any(|sample| sample.neighbours[by] >= MIN_EVIDENCE) {
                learned.evidence_at[by] = now;
            }
        }
    }

    /// Judges which neighbours slow a class. Returns the pairs that are now believed, or no longer.
    fn judge(&mut self, class: Index, now: Time) -> Vec<Pair> {
        let classes = self.classes.len();
        let learned = &mut self.learned[class];
        learned.new_runs = 0;
        for by in 0..classes {
            let age = now.since(learned.evidence_at[by]);
            if learned.is_believed[by] && age > MAX_EVIDENCE_AGE {
                learned.fit.forget(by);
            }
        }
        learned.estimates = learned.fit.estimates(classes);
        let mut changed = Vec::new();
        for by in 0..classes {
            let Estimate { log_factor, error } = learned.estimates[by];
            let was_believed = learned.is_believed[by];
            let errors = if was_believed { DISBELIEF_ERRORS } else { BELIEF_ERRORS };
            learned.is_believed[by] = log_factor - errors * error > MIN_FACTOR.ln();
            if learned.is_believed[by] != was_believed {
                changed.push(by);
            }
        }
        if !changed.is_empty() {
            self.update_conflicts();
        }
        changed.into_iter().map(|by| self.pair(class, by, now)).collect()
    }

    /// Works out the conflicts from the believed pairs: tasks are kept apart whichever is slowed.
    fn update_conflicts(&mut self) {
        self.conflicts = std::array::from_fn(|of| Conflicts { of, with: 0 });
        for (slowed, learned) in self.learned.iter().enumerate() {
            for by in (0..MAX_CLASSES).filter(|by| learned.is_believed[*by]) {
                self.conflicts[slowed].with |= 1 << by;
                self.conflicts[by].with |= 1 << slowed;
            }
        }
    }

    fn pair(&self, slowed: Index, by: Index, now: Time) -> Pair {
        let learned = &self.learned[slowed];
        let Estimate { log_factor, error } = learned.estimates[by];
        Pair {
            slowed: self.classes.name(slowed).clone(),
            by: self.classes.name(by).clone(),
            factor: log_factor.exp(),
            error,
            is_believed: learned.is_believed[by],
            evidence_age: now.since(learned.evidence_at[by]),
        }
    }
}

impl Learned {
    fn forget(&mut self, class: Index) {
        self.fit.forget(class);
        self.estimates[class] = Estimate::default();
        self.evidence_at[class] = Time::ZERO;
        self.is_believed[class] = false;
    }
}

/// Replaces the values of runs of one step by their differences from the mean.
fn subtract_means(runs: &mut [Comparison]) {
    let count = runs.len() as f64;
    let mean_work = runs.iter().map(|run| run.log_work).sum::<f64>() / count;
    let mean_neighbours: PerClass<f64> = std::array::from_fn(|class| {
        runs.iter().map(|run| run.neighbours[class]).sum::<f64>() / count
    });
    for run in runs {
        run.log_work -= mean_work;
        for (neighbours, mean) in run.neighbours.iter_mut().zip(mean_neighbours) {
            *neighbours -= mean;
        }
    }
}
