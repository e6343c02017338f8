use super::Reply;
use heathertrack::run::HandoverTracker;
use heathertrack::ticket::Home;

/// A job that a registry accepted.
#[derive(Clone, Debug)]
pub struct Job {
    pub key: usize,
    pub home: Home,
    pub handover: HandoverTracker,
    pub started: bool,
    pub cancelled: bool,
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
