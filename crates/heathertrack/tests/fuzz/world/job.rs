use super::Reply;
use heathertrack::run::Evidence;
use heathertrack::ticket::Home;

/// A job that a desk accepted.
#[derive(Clone, Debug)]
pub struct Job {
    pub key: usize,
    pub home: Home,
    pub evidence: Evidence,
    pub started: bool,
    pub cancelled: bool,
    pub reply: Option<Reply>,
}

impl Job {
    pub fn new(key: usize, home: Home) -> Self {
        Job {
            key,
            home,
            evidence: Evidence::default(),
            started: false,
            cancelled: false,
            reply: None,
        }
    }
}
