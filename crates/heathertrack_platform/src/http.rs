use crate::Fault;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::time::Duration;

/// Largest answer taken, in bytes; the store holds values up to a megabyte, in base64.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Connections kept open to one address.
const IDLE_CONNECTIONS: usize = 4;

/// A small HTTP client with a timeout on every call.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Client {
    /// A client whose calls take at most `timeout`.
    pub fn open(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Client { pool, timeout }
    }

    /// Calls a URI; gives the status and the whole body.
    pub async fn call(
        &self,
        method: Method,
        uri: &Uri,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), Fault> {
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Fault::Unreachable(error.to_string()))?;
        self.send(request).await
    }

    /// Sends a request; gives the status and the whole body.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), Fault> {
        let answer = self.send_whole(request).await?;
        Ok((answer.status(), answer.into_body()))
    }

    /// Sends a request; gives the whole answer.
    pub async fn send_whole(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, Fault> {
        match tokio::time::timeout(self.timeout, self.exchange(request)).await {
            Ok(answer) => answer,
            Err(_) => Err(Fault::AnswerLost(format!("no answer in {:?}", self.timeout))),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, Fault> {
        let response = self.pool.request(request).await.map_err(|error| {
            if error.is_connect() {
                Fault::Unreachable(error.to_string())
            } else {
                Fault::AnswerLost(error.to_string())
            }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| Fault::AnswerLost(error.to_string()))?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}
