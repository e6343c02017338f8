//! HTTP endpoints for operators: health, status and metrics.

use crate::callers::{Reply, json, text};
use crate::metrics;
use crate::state::State;
use crate::status;
use crate::unread_body;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Method, Request};
use std::sync::Arc;

/// Limit of concurrent connections of operators.
pub const MAX_CONNECTIONS: usize = 64;

/// Answers a request of an operator.
pub async fn answer(state: Arc<State>, request: Request<Incoming>) -> Reply {
    let (head, mut body) = request.into_parts();
    let mut reply = route_request(&state, &head);
    unread_body::finish(&head, &mut body, &mut reply).await;
    reply
}

fn route_request(state: &State, head: &Parts) -> Reply {
    if head.method != Method::GET {
        return text(405, "only GET is taken here\n".to_owned());
    }
    match head.uri.path() {
        "/healthz" if state.is_ready() => text(200, "ready\n".to_owned()),
        "/healthz" => text(503, "not ready\n".to_owned()),
        "/status" => json(&status::current(state)),
        "/metrics" => {
            status::set_gauges(state);
            text(200, metrics::render())
        }
        path => text(404, format!("there is nothing at {path}\n")),
    }
}
