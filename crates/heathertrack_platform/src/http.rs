use crate::CallError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;

/// Largest accepted response body, in bytes. The store holds values of up to a megabyte, sent as
/// base64.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Largest number of idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Timeout of a connection attempt, unless the call times out earlier.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Port of addresses that contain none.
const HTTP_PORT: u16 = 80;

type Sender = SendRequest<Full<Bytes>>;

/// A small HTTP client that reuses connections.
///
/// A call that times out also closes the idle connections to its address: the network may drop
/// their packets without a reset, while new connections work.
#[derive(Clone, Debug)]
pub struct Client {
    /// Idle connections by address.
    idle: Arc<Mutex<HashMap<String, Vec<Sender>>>>,
    timeout: Duration,
    max_response_bytes: usize,
    max_idle_connections: usize,
}

impl Client {
    /// Creates a client; `timeout` applies to all calls except [`Client::request_with_timeout`] and
    /// [`Client::request_without_timeout`].
    pub fn new(timeout: Duration) -> Self {
        Client {
            idle: Arc::default(),
            timeout,
            max_response_bytes: MAX_RESPONSE_BYTES,
            max_idle_connections: MAX_IDLE_CONNECTIONS,
        }
    }

    /// Sets the largest accepted response body, in bytes.
    pub fn with_max_response_bytes(mut self, bytes: usize) -> Self {
        self.max_response_bytes = bytes;
        self
    }

    /// Sets the largest number of idle connections to one address.
    pub fn with_max_idle_connections(mut self, connections: usize) -> Self {
        self.max_idle_connections = connections;
        self
    }

    /// Closes the idle connections to all addresses for which `keep` returns false. Addresses have
    /// the form `host:port`.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.lock().retain(|address, _| keep(address));
    }

    /// Sends a JSON body to a URI and returns the status and the whole response body.
    pub async fn call(
        &self,
        method: Method,
        uri: &Uri,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| CallError::Unreachable(error.to_string()))?;
        self.send(request).await
    }

    /// Sends a request and returns the status and the whole response body.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let response = self.request(request).await?;
        Ok((response.status(), response.into_body()))
    }

    /// Sends a request and returns the response with its whole body.
    pub async fn request(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, CallError> {
        self.request_with_timeout(request, self.timeout).await
    }

    /// Sends a request and returns the response with its whole body; fails if that takes longer
    /// than `timeout`.
    pub async fn request_with_timeout(
        &self,
        mut request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let address = prepare(&mut request)?;
        let mut sent = false;
        match tokio::time::timeout(timeout, self.exchange(&address, request, &mut sent)).await {
            Ok(result) => result,
            Err(_) => {
                self.lock().remove(&address);
                let message = format!("no answer in {timeout:?}");
                Err(if sent {
                    CallError::ResponseLost(message)
                } else {
                    CallError::Unreachable(message)
                })
            }
        }
    }

    /// Sends a request without a timeout and returns the response with its whole body. Dropping the
    /// future cancels the call.
    pub async fn request_without_timeout(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, CallError> {
        let address = prepare(&mut request)?;
        self.exchange(&address, request, &mut false).await
    }

    /// Sends a request over an idle connection, or else a new one. `sent` tells whether a part of
    /// the request may have been sent, also if the future is dropped.
    async fn exchange(
        &self,
        address: &str,
        mut request: Request<Full<Bytes>>,
        sent: &mut bool,
    ) -> Result<Response<Bytes>, CallError> {
        // The server may have closed an idle connection. A request that the connection hands back
        // was not sent and can be repeated.
        while let Some(mut sender) = self.take_idle(address) {
            if sender.ready().await.is_err() {
                continue;
            }
            *sent = true;
            match sender.try_send_request(request).await {
                Ok(response) => return self.read_body(address, sender, response).await,
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(CallError::ResponseLost(error.into_error().to_string())),
                },
            }
            *sent = false;
        }
        let mut sender = connect(address).await?;
        *sent = true;
        let response = sender.send_request(request).await;
        let response = response.map_err(|error| CallError::ResponseLost(error.to_string()))?;
        self.read_body(address, sender, response).await
    }

    async fn read_body(
        &self,
        address: &str,
        sender: Sender,
        response: Response<hyper::body::Incoming>,
    ) -> Result<Response<Bytes>, CallError> {
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, self.max_response_bytes).collect().await;
        let body = body.map_err(|error| CallError::ResponseLost(error.to_string()))?;
        self.put_idle(address, sender);
        Ok(Response::from_parts(parts, body.to_bytes()))
    }

    fn take_idle(&self, address: &str) -> Option<Sender> {
        let mut idle = self.lock();
        let senders = idle.get_mut(address)?;
        while let Some(sender) = senders.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn put_idle(&self, address: &str, sender: Sender) {
        let mut idle = self.lock();
        let senders = idle.entry(address.to_owned()).or_default();
        if senders.len() < self.max_idle_connections && !sender.is_closed() {
            senders.push(sender);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, Vec<Sender>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sets the `Host` header, reduces the URI to its path and query, and returns the address to
/// connect to.
fn prepare(request: &mut Request<Full<Bytes>>) -> Result<String, CallError> {
    let unreachable = |message: &str| CallError::Unreachable(message.to_owned());
    let uri = request.uri().clone();
    let authority = uri.authority().ok_or_else(|| unreachable("the address names no host"))?;
    if !request.headers().contains_key(HOST) {
        let host = HeaderValue::from_str(authority.as_str());
        let host = host.map_err(|_| unreachable("the host's name can't be sent"))?;
        request.headers_mut().insert(HOST, host);
    }
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    *request.uri_mut() = path.parse().map_err(|_| unreachable("the path can't be sent"))?;
    Ok(match authority.port_u16() {
        Some(_) => authority.as_str().to_owned(),
        None => format!("{authority}:{HTTP_PORT}"),
    })
}

async fn connect(address: &str) -> Result<Sender, CallError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let connected =
        connecting.map_err(|_| CallError::Unreachable("no connection in time".to_owned()))?;
    let stream = connected.map_err(|error| match error.kind() {
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => {
            CallError::Refused(error.to_string())
        }
        _ => CallError::Unreachable(error.to_string()),
    })?;
    stream.set_nodelay(true).map_err(|error| CallError::Unreachable(error.to_string()))?;
    let handshaken = handshake(TokioIo::new(stream)).await;
    let (sender, connection) =
        handshaken.map_err(|error| CallError::Unreachable(error.to_string()))?;
    tokio::spawn(async move {
        // An error is reported to the call in progress, and without one it can be ignored.
        let _ = connection.await;
    });
    Ok(sender)
}
