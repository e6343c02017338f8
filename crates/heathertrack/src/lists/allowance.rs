use crate::dispatch::Needs;
use crate::name::Plan;
use std::collections::BTreeMap;
use std::time::Duration;

/// Limits that apply to each customer on a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Allowance {
    /// Maximum number of concurrent tasks.
    pub tasks_at_once: u32,
    /// Maximum number of task starts per second, on average.
    pub starts_per_second: f64,
    /// Maximum number of task starts that accumulate while unused.
    pub burst: f64,
    /// Maximum number of tasks in one job.
    pub tasks_per_job: usize,
    /// Maximum resources of one task.
    pub task: Needs,
    /// Maximum deadline of a job.
    pub deadline: Duration,
}

/// Allowances of all plans.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Allowances {
    /// Allowance of each plan.
    pub plans: BTreeMap<Plan, Allowance>,
}

impl Allowances {
    /// Returns the longest deadline of any plan, or zero if there is no plan. Admission
    /// refuses a job with a longer deadline than its plan allows, so every task has ended, or no
    /// longer counts as in flight, within that time after its start.
    pub fn longest_deadline(&self) -> Duration {
        self.plans.values().map(|allowance| allowance.deadline).max().unwrap_or_default()
    }
}
