use heathertrack::pool::job::Id;
use serde_json::Value;
use std::collections::BTreeMap;

/// Maximum number of lines kept for one job. A wide job has one for each started task.
const MAX_LINES_PER_JOB: usize = 80;
/// Maximum number of jobs with lines; no lines are kept for further jobs.
const MAX_JOBS: usize = 2_000;

/// Time of an event by both clocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EventTime {
    /// Unix time in milliseconds. The time of day may jump.
    pub unix_ms: u64,
    /// Time since the log was opened in milliseconds, by a steady clock.
    pub up_ms: u64,
}

/// Log line that is written only if its job is not answered in time.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub event: &'static str,
    pub time: EventTime,
    pub fields: Value,
}

/// Log lines about jobs in progress, kept until the outcomes of the jobs are known. The log then
/// explains each failed or late job, without lines for the many jobs that are answered in time.
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
