//! Cancellation of jobs whose tasks were sent here by peers.

use crate::state::lock;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use tokio_util::sync::CancellationToken;

/// Jobs of peers with tasks on this host, by name: `<customer>/<key>`, as two customers may use the
/// same key. One message cancels all queued tasks of a job.
#[derive(Clone, Debug, Default)]
pub struct RemoteJobs {
    jobs: Arc<Mutex<HashMap<String, RemoteJob>>>,
}

#[derive(Debug)]
struct RemoteJob {
    cancel: CancellationToken,
    /// Number of the job's tasks that are registered.
    tasks: usize,
}

/// Registration of a task of a peer's job, removed on drop.
#[derive(Debug)]
pub struct RemoteTask {
    jobs: RemoteJobs,
    job_name: String,
    cancel: CancellationToken,
}

impl RemoteJobs {
    /// Registers a task of a job.
    pub fn register(&self, job_name: &str) -> RemoteTask {
        let mut jobs = lock(&self.jobs);
        let new_job = || RemoteJob { cancel: CancellationToken::new(), tasks: 0 };
        let job = jobs.entry(job_name.to_owned()).or_insert_with(new_job);
        job.tasks += 1;
        RemoteTask { jobs: self.clone(), job_name: job_name.to_owned(), cancel: job.cancel.clone() }
    }

    /// Cancels the queued tasks of a job.
    pub fn cancel(&self, job_name: &str) {
        if let Some(job) = lock(&self.jobs).get(job_name) {
            job.cancel.cancel();
        }
    }
}

impl RemoteTask {
    /// Returns the token that is cancelled with the job.
    pub fn cancel_token(&self) -> &CancellationToken {
        &self.cancel
    }
}

impl Drop for RemoteTask {
    fn drop(&mut self) {
        let mut jobs = lock(&self.jobs.jobs);
        if let Some(job) = jobs.get_mut(&self.job_name) {
            job.tasks -= 1;
            if job.tasks == 0 {
                jobs.remove(&self.job_name);
            }
        }
    }
}
