use heathertrack::pool::job::{Id, Outcome, Step};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Runs a job.
    Submit(Id),
    /// Returns the state of a job.
    State(Id),
    /// Cancels a job.
    Cancel(Id),
    /// Returns the number of queued jobs of a route.
    Waiting,
}

/// A job as submitted by a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Specification that is passed to each task.
    pub spec: Arc<str>,
    /// Steps of the job; a step may depend on earlier ones.
    pub steps: Vec<Step>,
    /// A requested feature that the daemon does not support, if any.
    pub unsupported: Option<&'static str>,
}

/// Protocol between callers and entry hosts.
pub trait Front: Clone + 'static {
    /// Parses the head of a request; `prefix` is the path prefix of its route.
    fn call(&self, head: &Parts, prefix: &str) -> Result<Call, StatusCode>;

    /// Returns the time that the caller waits for the response, if the request contains it.
    fn patience(&self, head: &Parts) -> Option<Duration>;

    /// Parses the body of a submission; the error lists all findings.
    fn submission(&self, body: &[u8]) -> Result<Submission, Vec<String>>;

    /// Builds the response to a submission.
    fn outcome(&self, outcome: &Outcome) -> Response<String>;

    /// Builds the response to [`Call::Waiting`].
    fn waiting(&self, jobs: usize) -> Response<String>;

    /// Builds the response to a request that is not served; `reason` says why.
    fn refusal(&self, status: StatusCode, reason: &str) -> Response<String>;
}
