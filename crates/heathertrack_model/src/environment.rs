use super::clock::VirtualClock;
use super::network::HostNetwork;
use super::orders::HostUpstreams;
use super::store::HostStore;
use heathertrack::pool::job::Outcome;
use heathertrack_platform::{Call, Front, Submission};
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
    pub front: NoFront,
}

/// Front without HTTP requests: emulated callers submit jobs directly.
#[derive(Clone, Copy, Debug)]
pub struct NoFront;

impl Environment for EmulatedEnvironment {
    type Metadata = HostStore;
    type Upstreams = HostUpstreams;
    type Front = NoFront;
    type Net = HostNetwork;
    type Clock = VirtualClock;

    fn metadata(&self) -> &HostStore {
        &self.store
    }

    fn upstreams(&self) -> &HostUpstreams {
        &self.upstreams
    }

    fn front(&self) -> &NoFront {
        &self.front
    }

    fn net(&self) -> &HostNetwork {
        &self.network
    }

    fn clock(&self) -> &VirtualClock {
        &self.clock
    }
}

impl Front for NoFront {
    fn call(&self, _: &Parts, _: &str) -> Result<Call, StatusCode> {
        Err(StatusCode::NOT_FOUND)
    }

    fn patience(&self, _: &Parts) -> Option<Duration> {
        None
    }

    fn submission(&self, _: &[u8]) -> Result<Submission, Vec<String>> {
        Err(Vec::new())
    }

    fn outcome(&self, _: &Outcome) -> Response<String> {
        Response::default()
    }

    fn waiting(&self, _: usize) -> Response<String> {
        Response::default()
    }

    fn refusal(&self, _: StatusCode, _: &str) -> Response<String> {
        Response::default()
    }
}
