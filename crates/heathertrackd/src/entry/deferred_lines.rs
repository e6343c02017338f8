use heathertrack::pool::job::Id;
use serde_json::Value;
use std::collections::BTreeMap;

/// Maximum number of lines kept for one job; a wide job has one for each task.
const MAX_LINES_PER_JOB: usize = 80;
/// Maximum number of jobs with lines; no lines are kept for further jobs.
const MAX_JOBS: usize = 2_000;

/// Log line that is written only if its job is not answered in time.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub event: &'static str,
    /// Unix time of the decision, in milliseconds.
    pub time_ms: u64,
    pub fields: Value,
}

/// Decisions about jobs in progress, kept until their outcomes are known. The log then has every
/// decision about a failed request, and its volume stays bounded.
#[derive(Debug, Default)]
pub struct DeferredLines {
    jobs: BTreeMap<Id, Vec<Line>>,
}

impl DeferredLines {
    /// Adds a line unless a limit is reached.
    pub fn add(&mut self, job: &Id, line: Line) {
        if self.jobs.len() >= MAX_JOBS && !self.jobs.contains_key(job) {
            return;
        }
        let lines = self.jobs.entry(job.clone()).or_default();
        if lines.len() < MAX_LINES_PER_JOB {
            lines.push(line);
        }
    }

    /// Removes and returns the lines of a job that has ended.
    pub fn take(&mut self, job: &Id) -> Vec<Line> {
        self.jobs.remove(job).unwrap_or_default()
    }
}
