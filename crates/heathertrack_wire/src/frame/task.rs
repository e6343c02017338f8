use super::{Load, Needs};
use crate::caller::Answer;
use serde::{Deserialize, Serialize};

/// A task sent to the dispatcher of a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// Key sent to the upstream: `<job key>/<index>`.
    pub key: String,
    /// Customer of the job.
    pub customer: String,
    /// Class of the job.
    pub class: String,
    /// Worth of the job to the customer. 1 is the default.
    pub worth: f64,
    /// Time since the job was accepted, in microseconds.
    pub age_us: u64,
    /// Remaining time until the job's deadline, in microseconds.
    #[serde(rename = "left_us")]
    pub remaining_us: u64,
    /// Path on the upstream.
    pub path: String,
    /// Request body for the upstream.
    pub body: String,
    /// Declared run time, in microseconds.
    pub declared_us: u64,
    /// Resources that the task needs on a worker.
    pub needs: Needs,
    /// Expected run time of the longest task of the job, in microseconds.
    pub job_longest_us: u64,
    /// Sum of the expected run times of all tasks of the job, in microseconds.
    pub job_work_us: u64,
    /// Number of times that the task may still be forwarded to another dispatcher.
    pub hops: u8,
}

impl Task {
    /// Returns the name of the task's job, see [`job_name`].
    pub fn job(&self) -> String {
        let job = self.key.rsplit_once('/').map_or(self.key.as_str(), |(job, _)| job);
        job_name(&self.customer, job)
    }
}

/// Returns the name of a job, `<customer>/<key>`. The key alone does not identify the job: two
/// customers may use the same one.
pub fn job_name(customer: &str, key: &str) -> String {
    format!("{customer}/{key}")
}

/// Result of a task. The texts explain it to a human reader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEnd {
    /// The upstream answered.
    Answered(Answer),
    /// The upstream ended the task with a failure. The task may have run.
    Failed(String),
    /// There is no answer. The task may have run, and may still be running until its deadline.
    Lost(String),
    /// No byte of the task was sent to an upstream, and none will be.
    Unstarted(String),
}

/// Reply of a peer to a task: its result and the load of the peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Result of the task.
    pub end: TaskEnd,
    /// Load of the peer's dispatcher after the task.
    pub load: Load,
}
