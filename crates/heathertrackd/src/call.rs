//! HTTP calls that run tasks on upstreams.

use bytes::Bytes;
use heathertrack_platform::{CallError, Client};
use heathertrack_wire::caller::Answer;
use http_body_util::Full;
use hyper::Request;
use hyper::header::CONTENT_TYPE;
use std::time::Duration;

/// Largest answer of one task, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Request for one task, as sent to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// `<job key>/<index>`.
    pub key: String,
    /// Class of the job, sent in the header `task-class`.
    pub class: String,
    pub path: String,
    pub body: Bytes,
    /// Time until the deadline of the task, sent in the header `task-deadline-ms`.
    pub time_left: Duration,
}

/// Result of a call.
#[derive(Debug)]
pub enum CallOutcome {
    /// The upstream answered with a success status.
    Answered(Answer),
    /// The upstream answered with another status.
    Failed(String),
    /// Part of the request may have been sent, but no complete answer arrived.
    Lost(String),
    /// No byte of the request was sent.
    Unsent(String),
}

impl Call {
    /// Sends the task and waits for its complete answer, without a timeout of its own: the
    /// dispatcher that calls this enforces the deadline.
    pub async fn send(&self, client: &Client, address: &str) -> CallOutcome {
        let request = match self.request(address) {
            Ok(request) => request,
            // The request can't be built, for example because its path is not valid.
            Err(error) => return CallOutcome::Unsent(error.to_string()),
        };
        match client.request_without_timeout(request).await {
            Ok(answer) if answer.status().is_success() => CallOutcome::Answered(Answer {
                status: answer.status().as_u16(),
                body: answer.into_body().to_vec(),
            }),
            Ok(answer) => CallOutcome::Failed(format!("the upstream answered {}", answer.status())),
            // `Refused` is a refused connection, not an answer of the upstream.
            Err(error @ (CallError::Unreachable(_) | CallError::Refused(_))) => {
                CallOutcome::Unsent(error.to_string())
            }
            // `Replaced` means that another process answers at the address: the intended one is
            // gone, and its runs with it.
            Err(
                error @ (CallError::Replaced(_)
                | CallError::ResponseLost(_)
                | CallError::BadResponse(_)),
            ) => CallOutcome::Lost(error.to_string()),
        }
    }

    fn request(&self, address: &str) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        Request::post(format!("http://{address}{}", self.path))
            .header(CONTENT_TYPE, "application/json")
            .header("task-key", &self.key)
            .header("task-class", &self.class)
            .header("task-deadline-ms", self.time_left.as_millis().to_string())
            .body(Full::new(self.body.clone()))
    }
}
