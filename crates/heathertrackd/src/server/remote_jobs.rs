//! Cancellation of jobs whose tasks were sent here by peers.

use crate::state::lock;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use tokio_util::sync::CancellationToken;

/// Jobs of peers with tasks on this host, by name. One message cancels all queued tasks of a job.
#[derive(Clone, Debug, Default)]
pub struct RemoteJobs {
    jobs: Arc<Mutex<HashMap<String, Job>>>,
}

#[derive(Debug)]
struct Job {
    cancel: CancellationToken,
    /// Number of the job's tasks that are registered.
    tasks: usize,
}

/// Registration of a task of a peer's job, removed on drop.
#[derive(Debug)]
pub struct RemoteTask {
    jobs: RemoteJobs,
    key: String,
    cancel: CancellationToken,
}

impl RemoteJobs {
    /// Registers a task of a job.
    pub fn register(&self, key: &str) -> RemoteTask {
        let mut jobs = lock(&self.jobs);
        let fresh = || Job { cancel: CancellationToken::new(), tasks: 0 };
        let job = jobs.entry(key.to_owned()).or_insert_with(fresh);
        job.tasks += 1;
        RemoteTask { jobs: self.clone(), key: key.to_owned(), cancel: job.cancel.clone() }
    }

    /// Cancels the queued tasks of a job.
    pub fn cancel(&self, key: &str) {
        if let Some(job) = lock(&self.jobs).get(key) {
            job.cancel.cancel();
        }
    }
}

impl RemoteTask {
    /// Returns the token that is cancelled with the job.
    pub fn cancelled(&self) -> &CancellationToken {
        &self.cancel
    }
}

impl Drop for RemoteTask {
    fn drop(&mut self) {
        let mut jobs = lock(&self.jobs.jobs);
        if let Some(job) = jobs.get_mut(&self.key) {
            job.tasks -= 1;
            if job.tasks == 0 {
                jobs.remove(&self.key);
            }
        }
    }
}
