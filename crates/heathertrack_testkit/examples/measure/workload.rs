use crate::fault::Fault;
use crate::setup;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::time::Duration;

/// Median run time of a task at nominal speed.
const MEDIAN_RUN_SECONDS: f64 = 0.100;
/// Standard deviation of the logarithm of run times; a few tasks last several seconds.
const RUN_TIME_SIGMA: f64 = 0.8;
/// Bounds of the run time of a task at nominal speed.
const SHORTEST_RUN_SECONDS: f64 = 0.010;
const LONGEST_RUN_SECONDS: f64 = 3.0;
/// Standard deviation of the logarithm of the ratio of declared to actual run time.
const DECLARED_SIGMA: f64 = 0.5;
/// Fraction of the jobs with one task.
const SINGLE_TASK_FRACTION: f64 = 0.6;
/// Fraction of the jobs with 340 tasks.
const HUGE_JOB_FRACTION: f64 = 0.003;
const HUGE_JOB_TASKS: usize = 340;
const LARGEST_USUAL_JOB_TASKS: usize = 40;
/// Mean number of tasks in a job: 0.6 of the jobs have 1, 0.003 have 340, the rest have 2 to 40,
/// with a mean of 21.
const MEAN_TASKS: f64 = SINGLE_TASK_FRACTION
    + HUGE_JOB_FRACTION * 340.0
    + (1.0 - SINGLE_TASK_FRACTION - HUGE_JOB_FRACTION) * 21.0;
/// Deadline of every job, as a caller at a shop counter sets it.
const DEADLINE_MS: u64 = 20_000;
/// Number of customers; they share one plan and differ in worth.
pub const CUSTOMERS: usize = 6;
/// Worth of each customer's requests: every third customer's are worth five times as much.
pub const WORTHS: [f64; CUSTOMERS] = [1.0, 1.0, 5.0, 1.0, 1.0, 5.0];
/// Index of the customer that floods under [`Fault::Flood`].
pub const FLOODING_CUSTOMER: usize = 0;

/// A job to send.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the customer.
    pub customer: usize,
    /// Index of the host that it is sent to.
    pub host: usize,
    /// Number of tasks.
    pub tasks: usize,
    /// Body of the request.
    pub body: String,
    /// Run time of its longest task at nominal speed, which is that of the fastest upstream.
    pub longest: Duration,
    /// Total run time of its tasks at nominal speed.
    pub work: Duration,
}

/// Generates random jobs, the same sequence for every policy.
#[derive(Debug)]
pub struct Workload {
    random: StdRng,
    /// Jobs per second, without a burst.
    rate: f64,
    fault: Option<Fault>,
}

impl Workload {
    /// Creates a workload that offers `load` as a fraction of the capacity.
    pub fn new(seed: u64, load: f64, fault: Option<Fault>) -> Self {
        // Mean of the log-normal run times, without their bounds.
        let mean = MEDIAN_RUN_SECONDS * (RUN_TIME_SIGMA * RUN_TIME_SIGMA / 2.0_f64).exp();
        let rate = load * setup::capacity() / (mean * MEAN_TASKS);
        Workload { random: StdRng::seed_from_u64(seed), rate, fault }
    }

    /// Returns the time until the next job when jobs arrive at `factor` times the usual rate.
    pub fn next_interval(&mut self, factor: f64) -> Duration {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / (self.rate * factor))
    }

    /// Returns the next job for one of `hosts` hosts. `fault_begun` says whether the fault has
    /// begun.
    pub fn next_job(&mut self, fault_begun: bool, hosts: usize) -> Job {
        let fault = self.fault.filter(|_| fault_begun);
        let tasks = self.draw_task_count();
        let mut customer = self.random.random_range(0..CUSTOMERS);
        if fault == Some(Fault::Flood) && self.random.random_bool(0.5) {
            customer = FLOODING_CUSTOMER;
        }
        let impossible = fault == Some(Fault::Impossible) && self.random.random_bool(0.05);
        // No upstream has 1,000 cores.
        let cores = if impossible { 1_000 } else { 1 };
        let accelerated =
            fault == Some(Fault::Accelerated) && tasks == 1 && self.random.random_bool(0.1);
        let class = ["quote", "cut-plan", "stock"][self.random.random_range(0..3)];
        let mut longest: f64 = 0.0;
        let mut work = 0.0;
        let mut list = Vec::with_capacity(tasks);
        for _ in 0..tasks {
            let time = self.draw_run_time();
            longest = longest.max(time);
            work += time;
            let mut declared = time * (DECLARED_SIGMA * self.draw_normal()).exp();
            if fault == Some(Fault::Declared) {
                declared /= 10.0;
            }
            let declared_ms = ((declared * 1_000.0) as u64).max(1);
            let us = (time * 1e6) as u64;
            list.push(json!({"path": "/run", "body": {"us": us}, "declared_ms": declared_ms,
                             "cores": cores, "accelerators": u8::from(accelerated)}));
        }
        let body = json!({"class": class, "deadline_ms": DEADLINE_MS, "tasks": list});
        Job {
            customer,
            host: self.random.random_range(0..hosts),
            tasks,
            body: body.to_string(),
            longest: Duration::from_secs_f64(longest),
            work: Duration::from_secs_f64(work),
        }
    }

    fn draw_task_count(&mut self) -> usize {
        let draw: f64 = self.random.random();
        if draw < SINGLE_TASK_FRACTION {
            1
        } else if draw < SINGLE_TASK_FRACTION + HUGE_JOB_FRACTION {
            HUGE_JOB_TASKS
        } else {
            self.random.random_range(2..=LARGEST_USUAL_JOB_TASKS)
        }
    }

    fn draw_run_time(&mut self) -> f64 {
        (MEDIAN_RUN_SECONDS * (RUN_TIME_SIGMA * self.draw_normal()).exp())
            .clamp(SHORTEST_RUN_SECONDS, LONGEST_RUN_SECONDS)
    }

    /// Draws from the standard normal distribution by the Box-Muller transform.
    fn draw_normal(&mut self) -> f64 {
        let radius: f64 = self.random.random_range(f64::EPSILON..1.0);
        let angle: f64 = self.random.random_range(0.0..std::f64::consts::TAU);
        (-2.0 * radius.ln()).sqrt() * angle.cos()
    }
}
