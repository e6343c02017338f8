use heathertrack::pool::job::{Id, Outcome, Step};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobRequest {
    /// Runs a job.
    Submit(Id),
    /// Returns the state of a job.
    Query(Id),
    /// Cancels a job.
    Cancel(Id),
    /// Returns the number of queued jobs of a route.
    CountQueued,
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
pub trait CallerProtocol: Clone + 'static {
    /// Parses the head of a request; `prefix` is the path prefix of its route.
    fn parse_request(&self, head: &Parts, prefix: &str) -> Result<JobRequest, StatusCode>;

    /// Returns the time that the caller waits for the response, if the request contains it.
    fn caller_timeout(&self, head: &Parts) -> Option<Duration>;

    /// Parses the body of a submission; the error lists all findings.
    fn parse_submission(&self, body: &[u8]) -> Result<Submission, Vec<String>>;

    /// Builds the response to a submission.
    fn outcome_response(&self, outcome: &Outcome) -> Response<String>;

    /// Builds the response to [`JobRequest::CountQueued`].
    fn queue_response(&self, jobs: usize) -> Response<String>;

    /// Builds the response to a request that is not served; `reason` says why.
    fn error_response(&self, status: StatusCode, reason: &str) -> Response<String>;
}
