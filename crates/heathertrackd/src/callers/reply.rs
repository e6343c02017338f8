//! Builds HTTP responses.

use crate::metrics;
use bytes::Bytes;
use heathertrack_wire::caller::{Outcome, Problem};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

/// An HTTP response with its whole body.
pub type Reply = Response<Full<Bytes>>;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const PROBLEM_JSON: HeaderValue = HeaderValue::from_static("application/problem+json");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

fn reply(status: u16, content_type: HeaderValue, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}

/// Builds a response with status 200 and a JSON body.
pub fn json(value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    reply(200, JSON, body)
}

/// Builds a plain-text response.
pub fn text(status: u16, body: String) -> Reply {
    reply(status, TEXT, body.into_bytes())
}

/// Builds the response for the outcome of a job.
pub fn outcome(outcome: &Outcome) -> Reply {
    match outcome {
        Outcome::Complete(_) => reply(200, JSON, outcome.body()),
        Outcome::Problem(found) => problem(found),
    }
}

/// Builds the response for a problem, and counts the problem in the metrics.
pub fn problem(problem: &Problem) -> Reply {
    metrics::problem(problem);
    let body = Outcome::Problem(problem.clone()).body();
    let mut reply = reply(problem.status(), PROBLEM_JSON, body);
    if let Some(millis) = problem.retry_after_ms {
        let seconds = millis.div_ceil(1_000).to_string();
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            reply.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    reply
}
