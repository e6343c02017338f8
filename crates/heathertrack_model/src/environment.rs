use super::clock::VirtualClock;
use super::network::HostNetwork;
use super::orders::HostUpstreams;
use super::store::HostStore;
use heathertrack::pool::job::Outcome;
use heathertrack_platform::{CallerProtocol, JobRequest, Submission};
use heathertrackd::entry::Environment;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use std::time::Duration;

/// Emulated store, upstreams, network and clock of one host.
#[derive(Clone, Debug)]
pub struct EmulatedEnvironment {
    pub store: HostStore,
    pub upstreams: HostUpstreams,
    pub network: HostNetwork,
    pub clock: VirtualClock,
    pub caller_protocol: NoCallerProtocol,
}

/// Caller protocol that is never used: emulated callers pass jobs to [`EntryHost::run_job`], so no
/// HTTP request is parsed and no response is built.
///
/// [`EntryHost::run_job`]: heathertrackd::entry::EntryHost::run_job
#[derive(Clone, Copy, Debug)]
pub struct NoCallerProtocol;

impl Environment for EmulatedEnvironment {
    type MetadataStore = HostStore;
    type UpstreamClient = HostUpstreams;
    type CallerProtocol = NoCallerProtocol;
    type Transport = HostNetwork;
    type Clock = VirtualClock;

    fn metadata_store(&self) -> &HostStore {
        &self.store
    }

    fn upstream_client(&self) -> &HostUpstreams {
        &self.upstreams
    }

    fn caller_protocol(&self) -> &NoCallerProtocol {
        &self.caller_protocol
    }

    fn transport(&self) -> &HostNetwork {
        &self.network
    }

    fn clock(&self) -> &VirtualClock {
        &self.clock
    }
}

impl CallerProtocol for NoCallerProtocol {
    fn parse_request(&self, _: &Parts, _: &str) -> Result<JobRequest, StatusCode> {
        Err(StatusCode::NOT_FOUND)
    }

    fn caller_timeout(&self, _: &Parts) -> Option<Duration> {
        None
    }

    fn parse_submission(&self, _: &[u8]) -> Result<Submission, Vec<String>> {
        Err(Vec::new())
    }

    fn outcome_response(&self, _: &Outcome) -> Response<String> {
        Response::default()
    }

    fn queue_response(&self, _: usize) -> Response<String> {
        Response::default()
    }

    fn error_response(&self, _: StatusCode, _: &str) -> Response<String> {
        Response::default()
    }
}
