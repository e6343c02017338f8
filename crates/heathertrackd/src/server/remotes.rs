use crate::state::lock;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use tokio_util::sync::CancellationToken;

/// Jobs of peers that have tasks here, so that one message cancels all of a job's.
#[derive(Clone, Debug, Default)]
pub struct Remotes {
    jobs: Arc<Mutex<HashMap<String, Job>>>,
}

#[derive(Debug)]
struct Job {
    cancel: CancellationToken,
    tasks: usize,
}

/// A task of a peer's job; leaves when dropped.
#[derive(Debug)]
pub struct Remote {
    jobs: Remotes,
    key: String,
    cancel: CancellationToken,
}

impl Remotes {
    /// Notes a task of a job.
    pub fn enter(&self, key: &str) -> Remote {
        let mut jobs = lock(&self.jobs);
        let fresh = || Job { cancel: CancellationToken::new(), tasks: 0 };
        let job = jobs.entry(key.to_owned()).or_insert_with(fresh);
        job.tasks += 1;
        Remote { jobs: self.clone(), key: key.to_owned(), cancel: job.cancel.clone() }
    }

    /// Cancels the waiting tasks of a job.
    pub fn cancel(&self, key: &str) {
        if let Some(job) = lock(&self.jobs).get(key) {
            job.cancel.cancel();
        }
    }
}

impl Remote {
    /// Cancelled when the job is.
    pub fn cancelled(&self) -> &CancellationToken {
        &self.cancel
    }
}

impl Drop for Remote {
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
