use super::clock::Virtual;
use super::network::Port;
use super::orders::Orders;
use super::store::Store;
use heathertrack::pool::job::Outcome;
use heathertrack_platform::{Call, Front, Submission};
use heathertrackd::entry::Environment;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use std::time::Duration;

/// Emulated store, upstreams, network and clock of one host.
#[derive(Clone, Debug)]
pub struct Emulation {
    pub store: Store,
    pub orders: Orders,
    pub port: Port,
    pub clock: Virtual,
    pub front: NoFront,
}

/// Front without HTTP requests: emulated callers submit jobs directly.
#[derive(Clone, Copy, Debug)]
pub struct NoFront;

impl Environment for Emulation {
    type Metadata = Store;
    type Upstreams = Orders;
    type Front = NoFront;
    type Net = Port;
    type Clock = Virtual;

    fn metadata(&self) -> &Store {
        &self.store
    }

    fn upstreams(&self) -> &Orders {
        &self.orders
    }

    fn front(&self) -> &NoFront {
        &self.front
    }

    fn net(&self) -> &Port {
        &self.port
    }

    fn clock(&self) -> &Virtual {
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
