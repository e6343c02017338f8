use heathertrack::pool::job::{Id, Outcome, Step};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// A caller's request, as given by its method and path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobRequest {
    /// Submits a job; the body describes it.
    Submit(Id),
    /// Returns the state of a job.
    Query(Id),
    /// Cancels a job.
    Cancel(Id),
    /// Returns the number of queued jobs of the service that the request's route names.
    CountQueued,
}

/// A job as submitted by a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Specification of the work, passed to each task unchanged.
    pub spec: Arc<str>,
    /// Steps of the job; a step may depend on earlier ones.
    pub steps: Vec<Step>,
    /// A requested feature that the daemon does not support, if any. It is no parse error: the job
    /// is valid, and the entry host refuses it as not run.
    pub unsupported: Option<&'static str>,
}

/// Protocol between callers and entry hosts.
pub trait CallerProtocol: Clone + 'static {
    /// Parses the head of a request; the error is the status to respond with. `prefix` is the path
    /// prefix of the request's route, the entry in the operators' configuration that matches it.
    fn parse_request(&self, head: &Parts, prefix: &str) -> Result<JobRequest, StatusCode>;

    /// Returns how long the caller waits for the response, if the request says so.
    fn caller_timeout(&self, head: &Parts) -> Option<Duration>;

    /// Parses the body of a submission; the error lists everything that is wrong with it.
    fn parse_submission(&self, body: &[u8]) -> Result<Submission, Vec<String>>;

    /// Builds the response to a submission from the outcome of its job.
    fn outcome_response(&self, outcome: &Outcome) -> Response<String>;

    /// Builds the response to [`JobRequest::CountQueued`].
    fn queue_response(&self, jobs: usize) -> Response<String>;

    /// Builds the response to a request that is not served; `reason` says why.
    fn error_response(&self, status: StatusCode, reason: &str) -> Response<String>;
}
