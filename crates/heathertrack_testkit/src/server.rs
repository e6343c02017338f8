//! Minimal HTTP/1 server for stand-ins.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Response with a complete body.
pub type Reply = Response<Full<Bytes>>;

/// What a stand-in does with a request.
pub enum Action {
    /// Sends a response.
    Answer(Reply),
    /// Closes the connection without a response.
    Close,
}

/// Request with a complete body.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Value of the `If-None-Match` header, or an empty string.
    pub if_none_match: String,
    /// Value of the `Task-Key` header, or an empty string.
    pub task_key: String,
    /// Time until the deadline of the task, from the `Task-Deadline-Ms` header if there is one.
    pub time_left: Option<Duration>,
    /// Request body.
    pub body: Bytes,
}

/// Serves requests on a listener until the process ends.
pub async fn serve<F>(
    listener: TcpListener,
    handler: impl Fn(ReceivedRequest) -> F + Clone + Send + 'static,
) where
    F: Future<Output = Action> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let (close, mut closed) = watch::channel(false);
        tokio::spawn(async move {
            let service =
                service_fn(move |request| handle(request, handler.clone(), close.clone()));
            let connection = Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => {}
                _ = closed.wait_for(|closed| *closed) => {}
            }
        });
    }
}

async fn handle<F>(
    request: Request<Incoming>,
    handler: impl Fn(ReceivedRequest) -> F,
    close: watch::Sender<bool>,
) -> Result<Reply, hyper::Error>
where
    F: Future<Output = Action>,
{
    let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
    let if_none_match = header("if-none-match").unwrap_or_default().to_owned();
    let task_key = header("task-key").unwrap_or_default().to_owned();
    let deadline_ms = header("task-deadline-ms").and_then(|value| value.parse().ok());
    let time_left = deadline_ms.map(Duration::from_millis);
    let method = request.method().to_string();
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await?.to_bytes();
    let received = ReceivedRequest { method, path, if_none_match, task_key, time_left, body };
    match handler(received).await {
        Action::Answer(reply) => Ok(reply),
        Action::Close => {
            // The connection is dropped before this response is ready.
            let _ = close.send(true);
            std::future::pending().await
        }
    }
}

/// Returns a JSON response.
pub fn json(value: &impl Serialize) -> Action {
    let body = serde_json::to_vec(value).expect("responses of stand-ins serialize to JSON");
    Action::Answer(Response::new(Full::new(Bytes::from(body))))
}

/// Returns a JSON response with an entity tag, or status 304 if the client has that tag.
pub fn json_with_tag(value: &impl Serialize, tag: &str, if_none_match: &str) -> Action {
    if tag == if_none_match {
        return status(StatusCode::NOT_MODIFIED);
    }
    let Action::Answer(mut reply) = json(value) else { return Action::Close };
    if let Ok(tag) = tag.parse() {
        reply.headers_mut().insert("etag", tag);
    }
    Action::Answer(reply)
}

/// Returns a response with a status and no body.
pub fn status(status: StatusCode) -> Action {
    let mut reply = Response::new(Full::new(Bytes::new()));
    *reply.status_mut() = status;
    Action::Answer(reply)
}
