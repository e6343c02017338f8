use heathertrack::pool::Task;
use std::fmt;
use std::time::Duration;

/// How the jobs of one class were served.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Served {
    /// Jobs whose callers waited for the answer.
    pub asked: u32,
    /// Answered within the objective.
    pub in_time: u32,
    /// Answered within three times the objective.
    pub late: u32,
    /// Refused without a run.
    pub refused: u32,
    /// All others.
    pub failed: u32,
    /// Refused ones that were sent again at the time that the refusal told.
    pub returned: u32,
    /// Of those, answered within their objective, counted from their return.
    pub returned_in_time: u32,
    /// Worth of all.
    pub owed: f64,
    /// Worth of those that were served.
    pub earned: f64,
}

impl Served {
    /// Share of the worth that was earned.
    pub fn worth(&self) -> f64 {
        if self.owed > 0.0 { self.earned / self.owed } else { 1.0 }
    }

    /// Adds up.
    pub fn add(&mut self, other: &Served) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.returned += other.returned;
        self.returned_in_time += other.returned_in_time;
        self.owed += other.owed;
        self.earned += other.earned;
    }
}

/// A promise that was broken, with the task or job, and for how long.
#[expect(missing_docs, reason = "the fields are told above")]
#[derive(Clone, Debug, PartialEq)]
pub enum Broken {
    /// Two runs of a task at once.
    Twice { task: Task, overlap: Duration },
    /// A task was started, and all submissions of its job were answered with "not run".
    RanThoughRefused { task: Task },
    /// A submission at a live host got no answer by its deadline.
    NoAnswer { job: String, waited: Duration },
}

/// What came out of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// What was broken.
    pub broken: Vec<Broken>,
    /// By class.
    pub served: Vec<(&'static str, Served)>,
    /// Runs of tasks.
    pub runs: usize,
    /// Core-seconds of runs that gave no result.
    pub wasted: f64,
    /// Lines of all hosts' logs.
    pub log: Vec<String>,
}

impl Verdict {
    /// All classes together.
    pub fn total(&self) -> Served {
        let mut total = Served::default();
        for (_, served) in &self.served {
            total.add(served);
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
        let rows = self.served.iter().map(|(name, served)| (*name, served));
        for (name, served) in rows.chain([("all", &total)]) {
            writeln!(
                f,
                "{:<14}{:>7}{:>9}{:>7}{:>9}{:>8}{:>8.3}",
                name,
                served.asked,
                served.in_time,
                served.late,
                served.refused,
                served.failed,
                served.worth()
            )?;
        }
        Ok(())
    }
}
