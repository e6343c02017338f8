use crate::record::Record;
use crate::{ROUTE_HOST, ROUTE_PREFIX};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// What a client got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Status(u16, String),
    Broken,
    TimedOut,
}

impl Answer {
    pub fn status(&self) -> u16 {
        match self {
            Answer::Status(status, _) => *status,
            Answer::Broken | Answer::TimedOut => 0,
        }
    }

    /// Returns whether the answer says that the job was completed.
    pub fn is_completed(&self) -> bool {
        matches!(self, Answer::Status(200, body) if body.contains("completed"))
    }

    /// Returns whether a client doesn't send the job again after this answer.
    pub fn is_final(&self) -> bool {
        !matches!(self.status(), 0 | 502 | 504)
    }
}

/// Returns a new identifier of a job.
pub fn new_id() -> String {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
    format!("{:08x}{:08x}", (now >> 10) as u32, LAST.fetch_add(1, Ordering::Relaxed) as u32)
}

/// A job whose tasks each take a time and a share of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub tasks: u64,
    pub work_ms: u64,
    /// Thousandths of a core.
    pub cpu: u64,
    /// Bytes of `spec`, at least; what the worker needs to know stands at its beginning.
    pub spec_bytes: usize,
    pub max_per_server: u64,
    /// Entries of `after`, which all name a first step of one task. Without any, there is no such step.
    pub after: usize,
}

impl Default for Job {
    fn default() -> Self {
        Job { tasks: 2, work_ms: 200, cpu: 1_000, spec_bytes: 0, max_per_server: 0, after: 0 }
    }
}

impl Job {
    /// Returns the body of the request that hands the job in.
    pub fn body(&self) -> String {
        let Job { tasks, work_ms, cpu, spec_bytes, max_per_server, after } = *self;
        let mut spec = format!("w={work_ms} c={cpu} m=1 ");
        spec.extend(std::iter::repeat_n('x', spec_bytes.saturating_sub(spec.len())));
        let mut step = json!({
            "count": tasks, "cpu": cpu, "mem_mb": 1, "estimate_ms": work_ms,
        });
        if max_per_server > 0 {
            step["max_per_server"] = json!(max_per_server);
        }
        let mut steps = Vec::new();
        if after > 0 {
            steps.push(json!({ "count": 1, "cpu": cpu, "mem_mb": 1, "estimate_ms": work_ms }));
            step["after"] = json!(vec![0; after]);
        }
        steps.push(step);
        json!({ "spec": spec, "best_effort": true, "steps": steps }).to_string()
    }

    pub fn summary(&self) -> String {
        format!("{self:?}, {} bytes of body", self.body().len())
    }
}

/// Sends a request on a connection of its own.
pub async fn send(
    record: &Record,
    host: SocketAddr,
    method: &str,
    id: &str,
    body: &str,
    deadline: Duration,
) -> Answer {
    let shown: String = body.chars().take(200).collect();
    record.add(format!("client to {host}: {method} {ROUTE_PREFIX}{id} {shown}"));
    let answer = timeout(deadline, exchange(host, method, id, body, deadline)).await;
    let answer = answer.unwrap_or(Answer::TimedOut);
    record.add(format!("client gets from {host} for {method} {id}: {answer:?}"));
    answer
}

async fn exchange(
    host: SocketAddr,
    method: &str,
    id: &str,
    body: &str,
    deadline: Duration,
) -> Answer {
    let Ok(stream) = TcpStream::connect(host).await else { return Answer::Broken };
    let Ok((mut sender, connection)) = handshake(TokioIo::new(stream)).await else {
        return Answer::Broken;
    };
    let connection = Connection(tokio::spawn(async move {
        let _ = connection.await;
    }));
    let request = Request::builder()
        .method(method)
        .uri(format!("{ROUTE_PREFIX}{id}"))
        .header("host", ROUTE_HOST)
        .header("x-deadline-ms", deadline.as_millis().to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("the request can be built");
    let Ok(response) = sender.send_request(request).await else { return Answer::Broken };
    let status = response.status().as_u16();
    let Ok(body) = response.into_body().collect().await else { return Answer::Broken };
    drop(connection);
    Answer::Status(status, String::from_utf8_lossy(&body.to_bytes()).into_owned())
}

/// Closes a connection when it is dropped, as a client that gives up does.
struct Connection(tokio::task::JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}
