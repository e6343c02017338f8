use super::overlap::Span;
use heathertrack::pool::Task;
use std::fmt;
use std::time::Duration;

/// How the jobs of one or several classes were served.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobStats {
    /// Jobs whose callers did not disconnect before the answer.
    pub jobs: u32,
    /// Jobs answered correctly within the objective.
    pub in_time: u32,
    /// Jobs answered correctly after the objective, within three times the objective.
    pub late: u32,
    /// Jobs whose last submission was refused.
    pub refused: u32,
    /// All other jobs: answered wrongly, later than three times the objective, or not at all.
    pub failed: u32,
    /// Refused jobs that were submitted once more, after the retry time of the refusal.
    pub returned: u32,
    /// Of the returned jobs, those answered within the objective, counted from the new submission.
    pub returned_in_time: u32,
    /// Worth of all jobs.
    pub total_worth: f64,
    /// Worth of the jobs that were answered; late answers count for a part of it.
    pub earned_worth: f64,
}

impl JobStats {
    /// Returns the share of the worth that was earned, or 1 without jobs.
    pub fn earned_share(&self) -> f64 {
        if self.total_worth > 0.0 { self.earned_worth / self.total_worth } else { 1.0 }
    }

    /// Adds the counts and worths of `other`.
    pub fn add(&mut self, other: &JobStats) {
        self.jobs += other.jobs;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.returned += other.returned;
        self.returned_in_time += other.returned_in_time;
        self.total_worth += other.total_worth;
        self.earned_worth += other.earned_worth;
    }
}

/// A violation of what is promised to callers and upstreams, with the task or job and the duration.
#[expect(missing_docs, reason = "the fields are described above")]
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A run started while another upstream had one of the same task. `at` is the time since the
    /// first callers might arrive.
    StartedWhileRunning { task: Task, at: Duration },
    /// A lease was prolonged for a run that no live host follows: the process that started it was
    /// killed `age` before. `at` is the time since the first callers might arrive.
    RenewedWithoutHost { task: Task, age: Duration, at: Duration },
    /// Two runs of a task overlapped.
    ConcurrentRuns { task: Task, overlap: Duration },
    /// A task was started `after` its upstream's data centre was evacuated, and before it was taken back.
    StartedInEvacuated { task: Task, after: Duration },
    /// A task was started although all submissions of its job were answered with "not run".
    RefusedJobRan { task: Task },
    /// A task was started three times more after its runs were lost with three upstreams.
    StartedAfterLosses { task: Task, losses: usize },
    /// A job was answered as failed, although none of its tasks had failed as often as it may since it
    /// was submitted for that answer. `failures` is the largest number of its tasks.
    FailedWithoutCause { job: String, failures: usize },
    /// A submission to a host without faults got no answer by its deadline.
    NoAnswer { job: String, waited: Duration },
}

/// Outcome of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Violations of what is promised to callers and upstreams.
    pub violations: Vec<Violation>,
    /// How jobs were served, by class.
    pub classes: Vec<(&'static str, JobStats)>,
    /// Age of each correct answer, relative to the objective of its job.
    pub answer_ages: Vec<f64>,
    /// Number of runs of tasks.
    pub runs: usize,
    /// All runs of tasks.
    pub spans: Vec<Span>,
    /// Largest number of upstreams that crashed under one task.
    pub most_losses: usize,
    /// Total run time, over all tasks, of every run but the task's last, in seconds.
    pub superseded_seconds: f64,
    /// Log lines of all hosts.
    pub log: Vec<String>,
}

impl Verdict {
    /// Returns the sum over all classes.
    pub fn total(&self) -> JobStats {
        let mut total = JobStats::default();
        for (_, stats) in &self.classes {
            total.add(stats);
        }
        total
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<14}{:>7}{:>9}{:>7}{:>9}{:>8}{:>8}",
            "class", "asked", "in time", "late", "refused", "failed", "worth"
        )?;
        let total = self.total();
        let rows = self.classes.iter().map(|(name, stats)| (*name, stats));
        for (name, stats) in rows.chain([("all", &total)]) {
            writeln!(
                f,
                "{:<14}{:>7}{:>9}{:>7}{:>9}{:>8}{:>8.3}",
                name,
                stats.jobs,
                stats.in_time,
                stats.late,
                stats.refused,
                stats.failed,
                stats.earned_share()
            )?;
        }
        Ok(())
    }
}
