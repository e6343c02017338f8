//! Readiness endpoint for the balancer.

use super::node::{EntryHost, Environment};
use super::transport::{Transport, serve_all};
use crate::intake::{self, Guard, small_requests};
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;

/// Starts to serve the readiness endpoint.
pub fn spawn<E: Environment>(
    entry: &Rc<EntryHost<E>>,
    listener: <E::Transport as Transport>::Listener,
) {
    let accepting = entry.clone();
    let serve = move |stream, guard| serve_checks(accepting.clone(), stream, guard);
    serve_all(entry.environment.transport(), listener, &entry.intakes.readiness, serve);
}

/// Answers the checks on one connection.
async fn serve_checks<E: Environment>(
    entry: Rc<EntryHost<E>>,
    stream: <E::Transport as Transport>::Stream,
    guard: Guard,
) {
    let service = service_fn(|_| async {
        guard.begin_request().await;
        let mut response = Response::new(String::new());
        *response.status_mut() = entry.readiness();
        guard.end_request();
        Ok::<_, Infallible>(response)
    });
    let stream = intake::Stream::new(stream, guard.clone());
    // A failed check needs no handling: the balancer checks again on a new connection.
    let _ = small_requests().serve_connection(TokioIo::new(stream), service).await;
}

impl<E: Environment> EntryHost<E> {
    /// Returns 503 until a configuration is in force and after a planned stop has begun, and 200
    /// otherwise.
    fn readiness(&self) -> StatusCode {
        let state = self.state.borrow();
        if state.leaving || state.table.is_none() {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        }
    }
}
