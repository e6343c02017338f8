use heathertrack::pool::job::Id;
use serde_json::Value;
use std::collections::BTreeMap;

/// Lines kept for one job; a wide job has one for each task.
const LINES: usize = 80;
/// Jobs with lines; further ones keep none.
const JOBS: usize = 2_000;

/// A line of the log that is written only if its job isn't answered in time.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub event: &'static str,
    /// When it was decided, in Unix milliseconds.
    pub time_ms: u64,
    pub fields: Value,
}

/// Decisions about jobs in progress, kept until it is known how they end. So the log has every
/// decision about a failed request, and its volume stays bounded.
#[derive(Debug, Default)]
pub struct Trails {
    jobs: BTreeMap<Id, Vec<Line>>,
}

impl Trails {
    /// Keeps a line.
    pub fn add(&mut self, job: &Id, line: Line) {
        if self.jobs.len() >= JOBS && !self.jobs.contains_key(job) {
            return;
        }
        let lines = self.jobs.entry(job.clone()).or_default();
        if lines.len() < LINES {
            lines.push(line);
        }
    }

    /// Takes the lines of a job that has ended.
    pub fn take(&mut self, job: &Id) -> Vec<Line> {
        self.jobs.remove(job).unwrap_or_default()
    }
}
