//! HTTP interface for callers.

mod auth;
mod body;
mod handle;
mod listener;
mod reply;

pub use listener::{Listener, spawn};
pub use reply::{Reply, json, text};

use crate::state::State;
use hyper::Request;
use hyper::body::Incoming;
use std::sync::Arc;

/// Answers one request of a caller.
pub async fn answer(state: Arc<State>, request: Request<Incoming>) -> Reply {
    handle::answer(&state, request).await
}
