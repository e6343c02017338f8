//! HTTP/1 server of the stand-ins.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;

/// A request with its whole body.
pub struct Received {
    pub method: String,
    pub path: String,
    pub query: String,
    /// Value of the header that names the intended worker.
    pub instance: String,
    pub body: Value,
}

impl Received {
    /// Returns the decoded value of a query parameter, or an empty string.
    pub fn query(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.into_iter().find(|(key, _)| *key == name).map_or("", |(_, value)| value);
        let mut bytes = Vec::new();
        let mut rest = value.bytes();
        while let Some(byte) = rest.next() {
            if byte == b'%' {
                let digits: Vec<u8> = rest.by_ref().take(2).collect();
                let text = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&text, 16).unwrap_or(b'?'));
            } else {
                bytes.push(byte);
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }

    pub fn number(&self, name: &str) -> u64 {
        self.query(name).parse().unwrap_or_default()
    }
}

/// Serves requests at an address. Without an answer of the handler, the connection stays open and
/// silent.
pub async fn serve<H, F>(address: SocketAddr, handler: H) -> SocketAddr
where
    H: Fn(Received) -> F + Send + Sync + 'static,
    F: Future<Output = Option<(u16, Value)>> + Send + 'static,
{
    let listener =
        TcpListener::bind(address).await.expect("a free loopback port can be listened on");
    let address = listener.local_addr().expect("a listener has an address");
    let handler = Arc::new(handler);
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| handle(request, handler.clone()));
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    address
}

async fn handle<H, F>(
    request: Request<Incoming>,
    handler: Arc<H>,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: Fn(Received) -> F,
    F: Future<Output = Option<(u16, Value)>>,
{
    let (head, body) = request.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let instance = head.headers.get("x-expect-instance").and_then(|value| value.to_str().ok());
    let received = Received {
        method: head.method.to_string(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        instance: instance.unwrap_or_default().to_owned(),
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
    };
    let Some((status, body)) = handler(received).await else {
        return std::future::pending().await;
    };
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    Ok(response)
}
