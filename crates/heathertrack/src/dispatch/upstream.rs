use super::estimate::LogMean;
use super::{Health, Needs, RunKey};
use crate::clock::Time;
use crate::name::Upstream as Name;
use std::time::Duration;

slotmap::new_key_type! {
    /// Key of an upstream within one dispatcher.
    pub struct UpstreamKey;
}

/// Minimum weight of a new sample of an upstream's slowness.
const MIN_SAMPLE_WEIGHT: f64 = 0.15;
/// Lower bound of the learned slowness.
const MIN_SLOWNESS: f64 = 0.05;
/// Upper bound of the learned slowness.
const MAX_SLOWNESS: f64 = 50.0;
/// Lower bound of times in seconds, so that their ratio and its logarithm are defined.
const MIN_TIME_S: f64 = 1e-6;
/// Number of tasks, assumed to run at the learned slowness, that are averaged with the running
/// ones.
const PRIOR_TASKS: f64 = 2.0;

/// Description of an upstream from the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Unique name.
    pub name: Name,
    /// Address, `ip:port`.
    pub address: String,
    /// Maximum number of tasks that it runs at once.
    pub slots: u32,
    /// Maximum number of connections that it accepts.
    pub connections: u32,
    /// Total resources of its worker.
    pub size: Needs,
    /// Whether it is leaving and must get no new tasks.
    pub leaving: bool,
}

/// State of one upstream within a dispatcher.
#[derive(Debug)]
pub struct Upstream {
    /// Latest description from the platform's list.
    pub spec: Spec,
    /// Time before which it gets no tasks, after a takeover from another host.
    pub usable_from: Time,
    /// Whether this host dispatches to it.
    pub owned: bool,
    /// Health, derived from the outcomes of its tasks.
    pub health: Health,
    /// Ratio of run times to those at nominal speed.
    slowness: LogMean,
    running: Vec<Running>,
    /// Resources of the worker that its running tasks use.
    used: Needs,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    key: RunKey,
    started: Time,
    /// Expected run time at nominal speed.
    expected: Duration,
    needs: Needs,
}

/// Expected end of a running task, and the resources that it then releases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedEnd {
    /// Time until the end.
    pub after: Duration,
    /// Resources that the task releases.
    pub needs: Needs,
}

impl Upstream {
    /// Creates an upstream of nominal speed, with nothing running.
    pub fn new(spec: Spec, owned: bool, usable_from: Time) -> Self {
        Upstream {
            spec,
            usable_from,
            owned,
            health: Health::default(),
            slowness: LogMean::default(),
            running: Vec::new(),
            used: Needs::default(),
        }
    }

    /// Number of tasks that this dispatcher runs on it.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Whether it may get new tasks, health aside.
    pub fn accepts_tasks(&self, now: Time) -> bool {
        self.owned && !self.spec.leaving && now >= self.usable_from
    }

    /// Free capacity of its worker.
    pub fn free_capacity(&self) -> Needs {
        self.spec.size.minus(&self.used)
    }

    /// Number of tasks that it may still get, limited by its slots and connections; health aside.
    pub fn free_slots(&self) -> usize {
        let limit = self.spec.slots.min(self.spec.connections) as usize;
        limit.saturating_sub(self.running.len())
    }

    /// Records the start of a task that takes `expected` at nominal speed.
    pub fn start(&mut self, key: RunKey, expected: Duration, needs: Needs, now: Time) {
        self.used = self.used.plus(&needs);
        self.running.push(Running { key, started: now, expected, needs });
    }

    /// Records the end of a task. Returns its run time, or `None` if the task is not running.
    pub fn end(&mut self, key: RunKey, now: Time) -> Option<Duration> {
        let at = self.running.iter().position(|run| run.key == key)?;
        let run = self.running.swap_remove(at);
        self.used = self.used.minus(&run.needs);
        Some(now.since(run.started))
    }

    /// Updates the learned slowness with a task that took `actual` instead of `expected`.
    pub fn learn(&mut self, expected: Duration, actual: Duration) {
        let expected = expected.as_secs_f64().max(MIN_TIME_S);
        let actual = actual.as_secs_f64().max(MIN_TIME_S);
        self.slowness.learn((actual / expected).ln(), MIN_SAMPLE_WEIGHT);
    }

    /// Ratio of run time to that at nominal speed, learned from tasks that have ended.
    pub fn learned_slowness(&self) -> f64 {
        self.slowness.geometric_mean().clamp(MIN_SLOWNESS, MAX_SLOWNESS)
    }

    /// Learned slowness, raised if the running tasks take longer than it predicts.
    pub fn slowness(&self, now: Time) -> f64 {
        let learned = self.learned_slowness();
        if self.running.is_empty() {
            return learned;
        }
        let count = self.running.len() as f64;
        let expected: f64 = self.running.iter().map(|run| run.expected.as_secs_f64()).sum();
        let elapsed: f64 =
            self.running.iter().map(|run| now.since(run.started).as_secs_f64()).sum();
        // Averaging with the prior limits the effect of one long task.
        let prior = PRIOR_TASKS * expected / count;
        learned.max((elapsed + prior * learned) / (expected + prior).max(MIN_TIME_S))
    }

    /// Expected ends of its running tasks, earliest first.
    pub fn expected_ends(&self, now: Time) -> Vec<ExpectedEnd> {
        let slowness = self.learned_slowness();
        let end =
            |run: &Running| ExpectedEnd { after: run.remaining(slowness, now), needs: run.needs };
        let mut ends: Vec<ExpectedEnd> = self.running.iter().map(end).collect();
        ends.sort_unstable_by_key(|end| end.after);
        ends
    }
}

impl Running {
    /// Expected time until the end of the task.
    fn remaining(&self, slowness: f64, now: Time) -> Duration {
        let elapsed = now.since(self.started);
        let expected = self.expected.mul_f64(slowness);
        // An overdue task is assumed to run on for as long again as it is overdue.
        expected.checked_sub(elapsed).unwrap_or_else(|| elapsed - expected)
    }
}
