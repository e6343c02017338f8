use heathertrack::pool::job::{Id, Outcome, Step};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// To run a job.
    Submit(Id),
    /// For the state of a job.
    State(Id),
    /// To end a job.
    Cancel(Id),
    /// How many jobs of a route wait.
    Waiting,
}

/// A job as a caller hands it in.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// What its tasks are to do.
    pub spec: Arc<str>,
    /// Its steps.
    pub steps: Vec<Step>,
    /// What it asks for that the daemon doesn't offer, if anything.
    pub unsupported: Option<&'static str>,
}

/// How callers speak.
pub trait Front: Clone + 'static {
    /// What a request asks for; `prefix` is that of its route.
    fn call(&self, head: &Parts, prefix: &str) -> Result<Call, StatusCode>;

    /// How long the caller waits for the answer, if it says so.
    fn patience(&self, head: &Parts) -> Option<Duration>;

    /// Reads a job; the error lists all findings.
    fn submission(&self, body: &[u8]) -> Result<Submission, Vec<String>>;

    /// The answer to a submission.
    fn outcome(&self, outcome: &Outcome) -> Response<String>;

    /// The answer to the question how many jobs wait.
    fn waiting(&self, jobs: usize) -> Response<String>;

    /// The answer to a request that can't be served; `why` says what is wrong.
    fn refusal(&self, status: StatusCode, why: &str) -> Response<String>;
}
