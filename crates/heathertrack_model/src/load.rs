//! Generates the jobs of callers.

use crate::upstream::Slowdown;
use heathertrack::pool::job::{Needs, Step};
use rand::Rng;
use rand::rngs::StdRng;
use std::time::Duration;

/// A class of jobs and the distribution of their sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: &'static str,
    /// Jobs per second, over all hosts.
    pub per_second: f64,
    /// Mean number of tasks per job.
    pub mean_tasks: f64,
    /// Mean run time of a task on an upstream of speed 1.
    pub work: Duration,
    /// Mean CPU need of a task, in thousandths of a core.
    pub cpu: f64,
    /// Priority; zero is the most urgent.
    pub priority: u32,
    /// Worth of a job of mean size that is answered in time; a late answer is worth a fifth of it.
    pub worth: f64,
}

/// Workload of a simulation: classes of jobs, their variation and the behaviour of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Classes of jobs.
    pub classes: Vec<Class>,
    /// Factor by which the rates of all classes are multiplied, 1 for the rates as they are.
    pub factor: f64,
    /// Variation of the number of tasks and of the mean run time of a job: sigma of a log-normal
    /// distribution.
    pub spread: f64,
    /// Error of the estimated run time: sigma of a log-normal distribution.
    pub estimate_error: f64,
    /// Share of the jobs whose tasks fail on every upstream.
    pub poison_share: f64,
    /// Share of the callers that disconnect before their job's objective has passed.
    pub leaving_share: f64,
    /// Share of the disconnecting callers that submit their job again, as after a connection that broke
    /// on their side.
    pub reconnecting_share: f64,
    /// Share of the callers that submit a refused job once more, after the retry time that they
    /// were given.
    pub returning_share: f64,
    /// Classes whose tasks are slowed by those of a class beside them on an upstream.
    pub slowdowns: Vec<Slowdown>,
}

/// Ratio of a job's objective to the run time of its longest task, before [`OBJECTIVE_EXTRA`] is
/// added.
pub const OBJECTIVE_RATIO: f64 = 1.6;
/// Fixed part of a job's objective.
pub const OBJECTIVE_EXTRA: Duration = Duration::from_millis(60);
/// Variation of the run time between the tasks of one job: sigma of a log-normal distribution.
const TASK_SPREAD: f64 = 0.15;
/// Variation of the CPU needs of jobs: sigma of a log-normal distribution.
const CPU_SPREAD: f64 = 0.2;
/// Largest ratio of a job's number of tasks, mean run time or estimate to its mean.
const MAX_RATIO: f64 = 4.0;
/// Largest ratio of a job's CPU need to the mean of its class.
const MAX_CPU_RATIO: f64 = 1.5;
/// Largest ratio of a task's run time to the mean of its job.
const MAX_TASK_RATIO: f64 = 2.0;
/// Largest ratio of a job's worth to that of its class.
const MAX_WORTH_RATIO: f64 = 4.0;

impl Load {
    /// Returns the load that the users specify: three classes of jobs at their rates.
    pub fn specified() -> Self {
        let class = |name, per_second, mean_tasks, work, priority, worth| Class {
            name,
            per_second,
            mean_tasks,
            work: Duration::from_millis(work),
            cpu: 6_800.0,
            priority,
            worth,
        };
        Load {
            classes: vec![
                class("stock-check", 34.4, 8.0, 60, 0, 0.0291),
                class("cut-plan", 6.25, 4.0, 900, 2, 0.16),
                class("blank-quote", 100.0, 2.0, 200, 1, 0.01),
            ],
            factor: 1.0,
            spread: 0.4,
            estimate_error: 0.4,
            poison_share: 0.002,
            leaving_share: 0.0,
            reconnecting_share: 0.0,
            returning_share: 0.0,
            slowdowns: Vec::new(),
        }
    }

    /// Returns the rate of jobs per second over all classes, multiplied by the factor.
    pub fn per_second(&self) -> f64 {
        self.classes.iter().map(|class| class.per_second).sum::<f64>() * self.factor
    }

    /// Draws a job. A change in the order of draws changes the results of every seed.
    pub fn draw(&self, random: &mut StdRng) -> DrawnJob {
        let total: f64 = self.classes.iter().map(|class| class.per_second).sum();
        let mut point = random.random_range(0.0..total);
        let mut index = 0;
        while index + 1 < self.classes.len() && point >= self.classes[index].per_second {
            point -= self.classes[index].per_second;
            index += 1;
        }
        let class = &self.classes[index];
        // `mean` is that of the distribution before its values are limited.
        let mut log_normal = |mean: f64, sigma: f64, max_ratio: f64| {
            (mean * (sigma * standard_normal(random) - sigma * sigma / 2.0).exp())
                .min(mean * max_ratio)
        };
        let tasks = log_normal(class.mean_tasks, self.spread, MAX_RATIO).round().max(1.0);
        let mean = log_normal(class.work.as_secs_f64(), self.spread, MAX_RATIO);
        let cpu = log_normal(class.cpu, CPU_SPREAD, MAX_CPU_RATIO) as u32;
        let estimate = log_normal(mean, self.estimate_error, MAX_RATIO);
        let work: Vec<Duration> = (0..tasks as usize)
            .map(|_| Duration::from_secs_f64(log_normal(mean, TASK_SPREAD, MAX_TASK_RATIO)))
            .collect();
        let longest = work.iter().max().copied().unwrap_or_default();
        let needs = Needs { cpu, memory: 64, accelerators: 0 };
        let step = Step {
            count: tasks as u32,
            needs,
            estimate: Duration::from_secs_f64(estimate),
            ..Step::default()
        };
        // Total work relative to the mean of the class. 30% of a job's worth are fixed, 70% grow
        // with its size.
        let size = tasks * mean / (class.mean_tasks * class.work.as_secs_f64());
        DrawnJob {
            class: index,
            step,
            work,
            objective: longest.mul_f64(OBJECTIVE_RATIO) + OBJECTIVE_EXTRA,
            worth: class.worth * (0.3 + 0.7 * size).min(MAX_WORTH_RATIO),
            poison: random.random_bool(self.poison_share),
        }
    }
}

/// A job drawn from a [`Load`].
#[derive(Clone, Debug)]
pub struct DrawnJob {
    /// Index of the job's class.
    pub class: usize,
    /// The job's only step.
    pub step: Step,
    /// Actual run time of each task on an upstream of speed 1.
    pub work: Vec<Duration>,
    /// Time within which an answer earns the full worth.
    pub objective: Duration,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Whether the job's tasks fail on every upstream.
    pub poison: bool,
}

/// Draws from the standard normal distribution (Box-Muller transform).
fn standard_normal(random: &mut StdRng) -> f64 {
    let (radius, angle): (f64, f64) = (random.random_range(1e-12..1.0), random.random());
    (-2.0 * radius.ln()).sqrt() * (std::f64::consts::TAU * angle).cos()
}
