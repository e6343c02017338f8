use crate::arguments::Arguments;
use crate::latency::Latency;
use crate::messages::Messages;
use crate::workload::{FLOODING_CUSTOMER, WORTHS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Outcome of one job.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub customer: usize,
    pub tasks: usize,
    /// HTTP status, or 0 if there was no response.
    pub status: u16,
    /// Whether the answer guarantees that nothing ran.
    pub not_run: bool,
    /// Response time.
    pub elapsed: Duration,
    /// Shortest possible response time, to which `elapsed` is compared.
    pub ideal: Duration,
    /// Total run time of its tasks at nominal speed.
    pub work: Duration,
    /// Whether it was sent after the warm-up.
    pub counted: bool,
    /// Whether its answer came within the measured time, also if it was sent in the warm-up.
    pub answered_in_window: bool,
    /// Whether it was sent after the fault began; true for all jobs without a fault.
    pub after_fault: bool,
}

impl Outcome {
    /// Returns the response ratio: the response time relative to the shortest possible one.
    fn ratio(&self) -> f64 {
        self.elapsed.as_secs_f64() / self.ideal.as_secs_f64()
    }
}

/// Measured values of one run.
#[derive(Debug, Serialize, Deserialize)]
pub struct Figures {
    pub variant: String,
    pub load: f64,
    pub fault: Option<String>,
    /// Response ratio of the counted jobs that were completed.
    pub response_ratio_p50: f64,
    pub response_ratio_p99: f64,
    pub response_ratio_mean: f64,
    /// Mean response ratio, weighted by the worth of the jobs.
    pub worth_weighted_ratio: f64,
    /// Response ratio of the jobs sent after the fault began; of all counted jobs without a fault.
    pub after_fault_p50: f64,
    pub after_fault_p99: f64,
    /// Like `after_fault_p99`, without the jobs of the customer that floods.
    pub others_p99: f64,
    pub messages_per_task: f64,
    pub wasted_messages_per_task: f64,
    pub messages_by_kind: BTreeMap<String, f64>,
    pub completed: usize,
    pub completed_tasks: usize,
    /// Counted jobs whose answer guarantees that nothing ran.
    pub refused_not_run: usize,
    /// Median response time of these.
    pub refusal_ms_p50: f64,
    /// Counted jobs that were neither completed nor refused.
    pub failed: usize,
    /// Starts at the upstreams that [`Fault::Failing`] affects, as a fraction of the tasks sent
    /// after the fault began.
    ///
    /// [`Fault::Failing`]: crate::fault::Fault::Failing
    pub share_to_failing: f64,
    /// Work of the jobs completed in the measured time, as a fraction of the capacity of all
    /// upstreams.
    pub work_of_capacity: f64,
}

/// All measured values of one invocation, printed as one JSON object.
#[derive(Debug, Serialize, Deserialize)]
pub struct Report {
    seed: u64,
    setup: String,
    pub runs: Vec<Figures>,
    pub latency: Option<Latency>,
}

impl Report {
    pub fn new(arguments: &Arguments, runs: Vec<Figures>, latency: Option<Latency>) -> Self {
        Report { seed: arguments.seed, setup: arguments.setup.name().to_owned(), runs, latency }
    }
}

impl Figures {
    /// Computes the figures of a run. `capacity` is the work that all upstreams can do in the
    /// measured time, in seconds at nominal speed.
    pub fn from_outcomes(
        variant: &str,
        load: f64,
        all_outcomes: &[Outcome],
        capacity: f64,
        messages: &Messages,
    ) -> Self {
        let in_window =
            all_outcomes.iter().filter(|job| job.status == 200 && job.answered_in_window);
        let work: f64 = in_window.map(|job| job.work.as_secs_f64()).sum();
        let counted: Vec<&Outcome> = all_outcomes.iter().filter(|job| job.counted).collect();
        let complete: Vec<&Outcome> =
            counted.iter().copied().filter(|job| job.status == 200).collect();
        let ratios = |keep: &dyn Fn(&Outcome) -> bool| {
            let kept = complete.iter().filter(|job| keep(job));
            sorted(kept.map(|job| job.ratio()).collect())
        };
        let all = ratios(&|_| true);
        let after_fault = ratios(&|job| job.after_fault);
        let others = ratios(&|job| job.after_fault && job.customer != FLOODING_CUSTOMER);
        let refused: Vec<&Outcome> = counted.iter().copied().filter(|job| job.not_run).collect();
        let refusals =
            sorted(refused.iter().map(|job| job.elapsed.as_secs_f64() * 1_000.0).collect());
        let completed_tasks: usize = complete.iter().map(|job| job.tasks).sum();
        let tasks = completed_tasks.max(1) as f64;
        let by_kind = messages.sent.iter().map(|(kind, count)| (kind.clone(), count / tasks));
        let failed = counted.len() - complete.len() - refused.len();
        Figures {
            variant: variant.to_owned(),
            load,
            fault: None,
            response_ratio_p50: percentile(&all, 0.5),
            response_ratio_p99: percentile(&all, 0.99),
            response_ratio_mean: all.iter().sum::<f64>() / all.len().max(1) as f64,
            worth_weighted_ratio: worth_weighted(&complete),
            after_fault_p50: percentile(&after_fault, 0.5),
            after_fault_p99: percentile(&after_fault, 0.99),
            others_p99: percentile(&others, 0.99),
            messages_per_task: messages.total() / tasks,
            wasted_messages_per_task: messages.wasted / tasks,
            messages_by_kind: by_kind.collect(),
            completed: complete.len(),
            completed_tasks,
            refused_not_run: refused.len(),
            refusal_ms_p50: percentile(&refusals, 0.5),
            failed,
            // The caller sets the fault and the share.
            share_to_failing: 0.0,
            work_of_capacity: work / capacity,
        }
    }
}

fn worth_weighted(complete: &[&Outcome]) -> f64 {
    let worth: f64 = complete.iter().map(|job| WORTHS[job.customer]).sum();
    let sum: f64 = complete.iter().map(|job| WORTHS[job.customer] * job.ratio()).sum();
    sum / worth.max(1e-9)
}

pub fn sorted(mut values: Vec<f64>) -> Vec<f64> {
    values.sort_by(f64::total_cmp);
    values
}

pub fn percentile(sorted: &[f64], fraction: f64) -> f64 {
    let at = (sorted.len() as f64 * fraction) as usize;
    sorted.get(at.min(sorted.len().saturating_sub(1))).copied().unwrap_or_default()
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<12} load {:.2} {:<10} p50 {:.2} p99 {:.2} mean {:.2} worth-weighted {:.2}; ",
            self.variant,
            self.load,
            self.fault.as_deref().unwrap_or(""),
            self.response_ratio_p50,
            self.response_ratio_p99,
            self.response_ratio_mean,
            self.worth_weighted_ratio,
        )?;
        write!(
            f,
            "after fault p50 {:.2} p99 {:.2} others' p99 {:.2}; ",
            self.after_fault_p50, self.after_fault_p99, self.others_p99,
        )?;
        write!(
            f,
            "messages {:.2} wasted {:.3} per task; {} completed ({} tasks), {} refused \
             (p50 {:.1} ms), {} failed; {:.3} of tasks to failing upstreams; work {:.2} of capacity",
            self.messages_per_task,
            self.wasted_messages_per_task,
            self.completed,
            self.completed_tasks,
            self.refused_not_run,
            self.refusal_ms_p50,
            self.failed,
            self.share_to_failing,
            self.work_of_capacity,
        )
    }
}
