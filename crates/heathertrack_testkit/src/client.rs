//! HTTP client for callers and operators.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// Response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status, or 0 if there was no response.
    pub status: u16,
    /// Response body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the field `run` of a problem document, `not_run` or `may_have_run`, or an empty
    /// string if there is none.
    pub fn run(&self) -> String {
        self.json()["run"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns whether the response guarantees that nothing ran.
    pub fn says_not_run(&self) -> bool {
        self.run() == "not_run"
    }
}

/// Client that authenticates with a customer's token.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    token: String,
}

impl Client {
    /// Creates a client with a token. With an empty token it sends no `Authorization` header. It
    /// never sends a request again by itself.
    pub fn new(token: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let pool =
            Pool::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Client { pool, token: token.to_owned() }
    }

    /// Creates a client that uses HTTP/2 only, with the default retries of the connection pool.
    pub fn http2(token: &str) -> Self {
        let pool = Pool::builder(TokioExecutor::new()).http2_only(true).build_http();
        Client { pool, token: token.to_owned() }
    }

    /// Submits a job in JSON, with an idempotency key if one is given.
    pub async fn submit(&self, host: &SocketAddr, key: Option<&str>, job: &str) -> Answer {
        self.call(Method::POST, host, "/v1/jobs", key, job).await
    }

    /// Requests a ticket, and returns an empty string on failure. `<ticket>/<number>`, with any
    /// number, is then an idempotency key.
    pub async fn ticket(&self, host: &SocketAddr) -> String {
        let answer = self.call(Method::POST, host, "/v1/tickets", None, "").await;
        answer.json()["ticket"].as_str().unwrap_or_default().to_owned()
    }

    /// Requests the result of a job.
    pub async fn result(&self, host: &SocketAddr, key: &str) -> Answer {
        self.call(Method::GET, host, &format!("/v1/jobs/{key}"), None, "").await
    }

    /// Cancels the job that is submitted under a key.
    pub async fn cancel(&self, host: &SocketAddr, key: &str) -> Answer {
        self.call(Method::DELETE, host, &format!("/v1/jobs/{key}"), None, "").await
    }

    /// Gets a JSON document, and returns `None` on failure.
    pub async fn get<T: DeserializeOwned>(&self, host: &SocketAddr, path: &str) -> Option<T> {
        let answer = self.call(Method::GET, host, path, None, "").await;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Sends a request. The status of the answer is 0 if the request cannot be built or gets no
    /// complete response.
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
        let no_response = Answer { status: 0, body: Vec::new() };
        let Ok(response) = self.pool.request(request).await else {
            return no_response;
        };
        let status = response.status().as_u16();
        let Ok(body) = response.into_body().collect().await else {
            return no_response;
        };
        Answer { status, body: body.to_bytes().to_vec() }
    }
}

/// Returns a new UUIDv7, which is valid as an idempotency key without a ticket.
pub fn new_uuid() -> String {
    uuid::Uuid::now_v7().to_string()
}
