use crate::dispatch::Needs;
use crate::name::Plan;
use std::collections::BTreeMap;
use std::time::Duration;

/// What the customers on one plan may use, each.
#[derive(Clone, Debug, PartialEq)]
pub struct Allowance {
    /// Tasks handed out at once.
    pub tasks_at_once: u32,
    /// Task starts per second.
    pub starts_per_second: f64,
    /// Starts that may be saved up.
    pub burst: f64,
    /// Tasks in one job.
    pub tasks_per_job: usize,
    /// What one task may take of a worker.
    pub task: Needs,
    /// Longest deadline.
    pub deadline: Duration,
}

/// The list of what each plan may use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Allowances {
    /// Allowance by plan.
    pub plans: BTreeMap<Plan, Allowance>,
}

impl Allowances {
    /// Longest deadline of any plan; a task started by anybody has ended by then.
    pub fn longest_deadline(&self) -> Duration {
        self.plans.values().map(|allowance| allowance.deadline).max().unwrap_or_default()
    }
}
