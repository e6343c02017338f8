//! Connections to upstreams.

use crate::state::lock;
use bytes::Bytes;
use heathertrack_wire::caller::Answer;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time after which a connection attempt is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer of one task, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

type Sender = SendRequest<Full<Bytes>>;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<String, Vec<Sender>>>,
}

/// One task as it is sent.
#[derive(Clone, Debug)]
pub struct Call {
    pub key: String,
    pub class: String,
    pub path: String,
    pub body: Bytes,
    pub left: Duration,
}

/// How a call ended.
#[derive(Debug)]
pub enum Reply {
    /// With a success.
    Answered(Answer),
    /// The upstream has ended it with a failure.
    Failed(String),
    /// A byte may have left, and no whole answer came.
    Lost(String),
    /// No byte of it left.
    Unsent(String),
}

impl Pool {
    /// Sends a task and waits for its whole answer.
    pub async fn call(&self, address: &str, call: &Call) -> Reply {
        let mut request = match request(address, call) {
            Ok(request) => request,
            Err(error) => return Reply::Unsent(error.to_string()),
        };
        // An idle connection may have been closed meanwhile; what it gives back was not sent.
        while let Some(sender) = self.take(address) {
            match self.send(address, sender, request).await {
                Sent::Reply(reply) => return reply,
                Sent::GivenBack(again, _) => request = *again,
            }
        }
        let sender = match connect(address).await {
            Ok(sender) => sender,
            Err(reason) => return Reply::Unsent(reason),
        };
        match self.send(address, sender, request).await {
            Sent::Reply(reply) => reply,
            Sent::GivenBack(_, reason) => Reply::Unsent(reason),
        }
    }

    /// Closes idle connections to upstreams that are no longer there.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        lock(&self.idle).retain(|address, _| keep(address));
    }

    async fn send(&self, address: &str, mut sender: Sender, request: Request<Full<Bytes>>) -> Sent {
        if let Err(error) = sender.ready().await {
            return Sent::GivenBack(Box::new(request), error.to_string());
        }
        match sender.try_send_request(request).await {
            Ok(response) => {
                let reply = read(response).await;
                if matches!(reply, Reply::Answered(_)) {
                    self.put(address, sender);
                }
                Sent::Reply(reply)
            }
            Err(mut error) => match error.take_message() {
                Some(request) => Sent::GivenBack(Box::new(request), error.error().to_string()),
                None => Sent::Reply(Reply::Lost(error.into_error().to_string())),
            },
        }
    }

    fn take(&self, address: &str) -> Option<Sender> {
        let mut idle = lock(&self.idle);
        let senders = idle.get_mut(address)?;
        while let Some(sender) = senders.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn put(&self, address: &str, sender: Sender) {
        let mut idle = lock(&self.idle);
        idle.entry(address.to_owned()).or_default().push(sender);
    }
}

enum Sent {
    Reply(Reply),
    GivenBack(Box<Request<Full<Bytes>>>, String),
}

fn request(address: &str, call: &Call) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    Request::post(&call.path)
        .header("host", address)
        .header("content-type", "application/json")
        .header("task-key", &call.key)
        .header("task-class", &call.class)
        .header("task-deadline-ms", call.left.as_millis().to_string())
        .body(Full::new(call.body.clone()))
}

async fn connect(address: &str) -> Result<Sender, String> {
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(error.to_string()),
        Err(_) => return Err("no connection in time".to_owned()),
    };
    stream.set_nodelay(true).map_err(|error| error.to_string())?;
    let shaken = handshake(TokioIo::new(stream)).await;
    let (sender, connection) = shaken.map_err(|error| error.to_string())?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn read(response: Response<Incoming>) -> Reply {
    let status = response.status();
    let body = match Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return Reply::Lost(format!("the answer broke off: {error}")),
    };
    if !status.is_success() {
        return Reply::Failed(format!("the upstream answered {status}"));
    }
    Reply::Answered(Answer { status: status.as_u16(), body: body.to_vec() })
}
