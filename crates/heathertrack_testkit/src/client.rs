//! A caller's and an operator's HTTP client.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// What came back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status; zero if nothing came back.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    /// The body as JSON; null if it is none.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// What a problem document says of the run; empty if it is none.
    pub fn run(&self) -> String {
        self.json()["run"].as_str().unwrap_or_default().to_owned()
    }

    /// Whether it is a refusal that says that nothing ran.
    pub fn says_not_run(&self) -> bool {
        self.run() == "not_run"
    }
}

/// A client with a customer's token.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    token: String,
}

impl Client {
    /// A client that sends this token; an empty one is left out.
    pub fn new(token: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let pool =
            Pool::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Client { pool, token: token.to_owned() }
    }

    /// The same, but speaking HTTP/2 only.
    pub fn http2(token: &str) -> Self {
        let pool = Pool::builder(TokioExecutor::new()).http2_only(true).build_http();
        Client { pool, token: token.to_owned() }
    }

    /// Submits a job, under a key if there is one.
    pub async fn submit(&self, host: &SocketAddr, key: Option<&str>, job: &str) -> Answer {
        self.call(Method::POST, host, "/v1/jobs", key, job).await
    }

    /// Asks for a ticket.
    pub async fn ticket(&self, host: &SocketAddr) -> String {
        let answer = self.call(Method::POST, host, "/v1/tickets", None, "").await;
        answer.json()["ticket"].as_str().unwrap_or_default().to_owned()
    }

    /// Asks for the answer of a job.
    pub async fn look(&self, host: &SocketAddr, key: &str) -> Answer {
        self.call(Method::GET, host, &format!("/v1/jobs/{key}"), None, "").await
    }

    /// Cancels a job.
    pub async fn cancel(&self, host: &SocketAddr, key: &str) -> Answer {
        self.call(Method::DELETE, host, &format!("/v1/jobs/{key}"), None, "").await
    }

    /// Gets a document.
    pub async fn get<T: DeserializeOwned>(&self, host: &SocketAddr, path: &str) -> Option<T> {
        let answer = self.call(Method::GET, host, path, None, "").await;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Calls a path.
    pub async fn call(
        &self,
        method: Method,
        host: &SocketAddr,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Answer {
        let mut request = Request::builder().method(method).uri(format!("http://{host}{path}"));
        if !self.token.is_empty() {
            request = request.header("authorization", format!("Bearer {}", self.token));
        }
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let Ok(request) = request.body(Full::new(Bytes::from(body.to_owned()))) else {
            return Answer { status: 0, body: Vec::new() };
        };
        let lost = Answer { status: 0, body: Vec::new() };
        let Ok(response) = self.pool.request(request).await else {
            return lost;
        };
        let status = response.status().as_u16();
        let Ok(body) = response.into_body().collect().await else {
            return lost;
        };
        Answer { status, body: body.to_bytes().to_vec() }
    }
}

/// A fresh UUIDv7.
pub fn mint() -> String {
    uuid::Uuid::now_v7().to_string()
}
