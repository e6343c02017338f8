//! Calls that run a task on an upstream.

use bytes::Bytes;
use heathertrack_platform::{Client, Fault};
use heathertrack_wire::caller::Answer;
use http_body_util::Full;
use hyper::Request;
use hyper::header::CONTENT_TYPE;
use std::time::Duration;

/// Largest answer of one task, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;

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

impl Call {
    /// Sends the task and waits for its whole answer, for as long as the caller does.
    pub async fn send(&self, client: &Client, address: &str) -> Reply {
        let request = match self.request(address) {
            Ok(request) => request,
            Err(error) => return Reply::Unsent(error.to_string()),
        };
        match client.send_patiently(request).await {
            Ok(answer) if answer.status().is_success() => Reply::Answered(Answer {
                status: answer.status().as_u16(),
                body: answer.into_body().to_vec(),
            }),
            Ok(answer) => Reply::Failed(format!("the upstream answered {}", answer.status())),
            Err(fault @ (Fault::Unreachable(_) | Fault::Refused(_))) => {
                Reply::Unsent(fault.to_string())
            }
            Err(fault @ (Fault::Replaced(_) | Fault::AnswerLost(_) | Fault::BadAnswer(_))) => {
                Reply::Lost(fault.to_string())
            }
        }
    }

    fn request(&self, address: &str) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        Request::post(format!("http://{address}{}", self.path))
            .header(CONTENT_TYPE, "application/json")
            .header("task-key", &self.key)
            .header("task-class", &self.class)
            .header("task-deadline-ms", self.left.as_millis().to_string())
            .body(Full::new(self.body.clone()))
    }
}
