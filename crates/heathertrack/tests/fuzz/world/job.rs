use super::Reply;
use heathertrack::run::HandoverTracker;
use heathertrack::ticket::Home;

/// A job of one task that a process accepted.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the key.
    pub key: usize,
    /// The process that accepted the job.
    pub home: Home,
    pub handover: HandoverTracker,
    pub started: bool,
    /// Whether a caller asked to cancel the job.
    pub cancelled: bool,
    /// Outcome, once the job has ended.
    pub reply: Option<Reply>,
}

impl Job {
    pub fn new(key: usize, home: Home) -> Self {
        Job {
            key,
            home,
            handover: HandoverTracker::default(),
            started: false,
            cancelled: false,
            reply: None,
        }
    }
}
