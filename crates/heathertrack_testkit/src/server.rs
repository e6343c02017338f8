//! A small HTTP server for stand-ins.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// A response with its whole body.
pub type Reply = Response<Full<Bytes>>;

/// What a stand-in does with a request.
pub enum Action {
    /// Answers it.
    Answer(Reply),
    /// Closes the connection without an answer.
    Close,
}

/// A request with its whole body.
#[derive(Debug)]
pub struct Whole {
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// The `If-None-Match` header, or nothing.
    pub known_tag: String,
    /// The `Task-Key` header, or nothing.
    pub task_key: String,
    /// Body.
    pub body: Bytes,
}

/// Serves requests on a listener until the process ends.
pub async fn serve<F>(listener: TcpListener, answer: impl Fn(Whole) -> F + Clone + Send + 'static)
where
    F: Future<Output = Action> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let answer = answer.clone();
        let (close, mut closed) = watch::channel(false);
        tokio::spawn(async move {
            let service = service_fn(move |request| handle(request, answer.clone(), close.clone()));
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
    answer: impl Fn(Whole) -> F,
    close: watch::Sender<bool>,
) -> Result<Reply, hyper::Error>
where
    F: Future<Output = Action>,
{
    let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
    let known_tag = header("if-none-match").unwrap_or_default().to_owned();
    let task_key = header("task-key").unwrap_or_default().to_owned();
    let method = request.method().to_string();
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await?.to_bytes();
    match answer(Whole { method, path, known_tag, task_key, body }).await {
        Action::Answer(reply) => Ok(reply),
        Action::Close => {
            let _ = close.send(true);
            std::future::pending().await
        }
    }
}

/// A JSON answer.
pub fn json(value: &impl Serialize) -> Action {
    let body = serde_json::to_vec(value).expect("stand-ins answer what can be JSON");
    Action::Answer(Response::new(Full::new(Bytes::from(body))))
}

/// A JSON answer with an entity tag, or a short one if the asker knows that tag.
pub fn tagged(value: &impl Serialize, tag: &str, known_tag: &str) -> Action {
    if tag == known_tag {
        return status(StatusCode::NOT_MODIFIED);
    }
    let Action::Answer(mut reply) = json(value) else { return Action::Close };
    if let Ok(tag) = tag.parse() {
        reply.headers_mut().insert("etag", tag);
    }
    Action::Answer(reply)
}

/// An answer without a body.
pub fn status(status: StatusCode) -> Action {
    let mut reply = Response::new(Full::new(Bytes::new()));
    *reply.status_mut() = status;
    Action::Answer(reply)
}
