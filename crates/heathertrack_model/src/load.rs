//! Callers' jobs.

use heathertrack::pool::job::{Needs, Step};
use rand::Rng;
use rand::rngs::StdRng;
use std::time::Duration;

/// Jobs of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Jobs a second, over all hosts.
    pub per_second: f64,
    /// Mean number of tasks.
    pub width: f64,
    /// Mean duration of a task at usual speed.
    pub work: Duration,
    /// Mean thousandths of a core of a task.
    pub cpu: f64,
    /// Zero is the most urgent.
    pub priority: u32,
    /// What a usual job is worth in time; late it is worth a fifth.
    pub worth: f64,
}

/// What callers ask for.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The kinds of jobs.
    pub classes: Vec<Class>,
    /// All rates are multiplied by this.
    pub factor: f64,
    /// Spread of widths and durations: sigma of a normal logarithm.
    pub spread: f64,
    /// Error of estimates: sigma of a normal logarithm.
    pub error: f64,
    /// Share of the jobs whose tasks fail wherever they run.
    pub poison: f64,
    /// Share of the callers that leave before their job's objective.
    pub leaving: f64,
    /// Share of the callers that send a refused job again, once, at the time they were told.
    pub returning: f64,
}

/// Factor between objective and work, and what is added to it.
pub const STRETCH: f64 = 1.6;
/// What is added to an objective.
pub const EXTRA: Duration = Duration::from_millis(60);
/// Spread between the tasks of one job.
const UNEVEN: f64 = 0.15;
/// Spread of what tasks take.
const CPU_SPREAD: f64 = 0.2;
/// Widest job against the mean width.
const WIDEST: f64 = 4.0;

impl Load {
    /// The users' three kinds of requests, at the rates of their sheet.
    pub fn sheet() -> Self {
        let class = |name, per_second, width, work, priority, worth| Class {
            name,
            per_second,
            width,
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
            error: 0.4,
            poison: 0.002,
            leaving: 0.0,
            returning: 0.0,
        }
    }

    /// Jobs a second.
    pub fn per_second(&self) -> f64 {
        self.classes.iter().map(|class| class.per_second).sum::<f64>() * self.factor
    }

    /// Draws a job: its class, its step, the real duration of each task, and its size against the
    /// mean.
    pub fn draw(&self, random: &mut StdRng) -> Drawn {
        let total: f64 = self.classes.iter().map(|class| class.per_second).sum();
        let mut point = random.random_range(0.0..total);
        let mut index = 0;
        while index + 1 < self.classes.len() && point >= self.classes[index].per_second {
            point -= self.classes[index].per_second;
            index += 1;
        }
        let class = &self.classes[index];
        let mut log_normal = |mean: f64, sigma: f64, most: f64| {
            (mean * (sigma * normal(random) - sigma * sigma / 2.0).exp()).min(mean * most)
        };
        let width = log_normal(class.width, self.spread, WIDEST).round().max(1.0);
        let mean = log_normal(class.work.as_secs_f64(), self.spread, WIDEST);
        let cpu = log_normal(class.cpu, CPU_SPREAD, 1.5) as u32;
        let estimate = log_normal(mean, self.error, WIDEST);
        let work: Vec<Duration> = (0..width as usize)
            .map(|_| Duration::from_secs_f64(log_normal(mean, UNEVEN, 2.0)))
            .collect();
        let longest = work.iter().max().copied().unwrap_or_default();
        let needs = Needs { cpu, memory: 64, accelerators: 0 };
        let step = Step {
            count: width as u32,
            needs,
            estimate: Duration::from_secs_f64(estimate),
            ..Step::default()
        };
        let size = width * mean / (class.width * class.work.as_secs_f64());
        Drawn {
            class: index,
            step,
            work,
            objective: longest.mul_f64(STRETCH) + EXTRA,
            worth: class.worth * (0.3 + 0.7 * size).min(4.0),
            poison: random.random_bool(self.poison),
        }
    }
}

/// A job as it was drawn.
#[derive(Clone, Debug)]
pub struct Drawn {
    /// Index of its class.
    pub class: usize,
    /// Its step.
    pub step: Step,
    /// Real duration of each task at usual speed.
    pub work: Vec<Duration>,
    /// Time within which it is worth its whole.
    pub objective: Duration,
    /// What it is worth.
    pub worth: f64,
    /// Whether its tasks fail wherever they run.
    pub poison: bool,
}

/// A standard normal value.
fn normal(random: &mut StdRng) -> f64 {
    let (one, other): (f64, f64) = (random.random_range(1e-12..1.0), random.random());
    (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * other).cos()
}
