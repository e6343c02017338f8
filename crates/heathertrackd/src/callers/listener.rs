//! HTTP server for the interfaces for callers and operators.

use super::Reply;
use crate::linger;
use crate::state::State;
use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

/// Time within which a request's header must have arrived; also limits idle connections.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest header of a request, in bytes.
const MAX_HEADER_BYTES: usize = 32 << 10;
/// Most header fields of a request.
const MAX_HEADER_FIELDS: usize = 64;
/// Most concurrent requests on one HTTP/2 connection.
const MAX_STREAMS: u32 = 256;
/// Interval between keep-alive pings on an HTTP/2 connection, and timeout of their answers.
const KEEP_ALIVE: Duration = Duration::from_secs(20);
/// Pause after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Handle to a running HTTP listener.
#[derive(Debug)]
pub struct Listener {
    stop: CancellationToken,
    done: CancellationToken,
}

impl Listener {
    /// Stops accepting connections and waits until the requests in progress are answered.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.done.cancelled().await;
    }
}

/// Serves HTTP/1.1 and HTTP/2 on a listener, with at most `max_connections` open at once. Each
/// request is answered by `answer`.
pub fn spawn<F>(
    state: &Arc<State>,
    listener: TcpListener,
    max_connections: usize,
    answer: impl Fn(Arc<State>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) -> Listener
where
    F: Future<Output = Reply> + Send + 'static,
{
    let stop = CancellationToken::new();
    let done = CancellationToken::new();
    let handle = Listener { stop: stop.clone(), done: done.clone() };
    tokio::spawn(accept(state.clone(), listener, max_connections, answer, stop, done));
    handle
}

async fn accept<F>(
    state: Arc<State>,
    listener: TcpListener,
    max_connections: usize,
    answer: impl Fn(Arc<State>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    stop: CancellationToken,
    done: CancellationToken,
) where
    F: Future<Output = Reply> + Send + 'static,
{
    let slots = Arc::new(Semaphore::new(max_connections));
    let graceful = GracefulShutdown::new();
    let builder = builder();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            state.timer.wait(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        // Over the limit the connection is closed at once, so that the load balancer tries another
        // host.
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            continue;
        };
        serve(&state, &builder, &graceful, stream, slot, answer.clone());
    }
    drop(listener);
    graceful.shutdown().await;
    done.cancel();
}

fn builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .max_headers(MAX_HEADER_FIELDS);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(KEEP_ALIVE)
        .keep_alive_timeout(KEEP_ALIVE)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES as u32);
    builder
}

fn serve<F>(
    state: &Arc<State>,
    builder: &Builder<TokioExecutor>,
    graceful: &GracefulShutdown,
    stream: TcpStream,
    slot: OwnedSemaphorePermit,
    answer: impl Fn(Arc<State>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Reply> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let state = state.clone();
    let lingering = linger::Switch::default();
    let stream = linger::Stream::new(stream, lingering.clone());
    let service = service_fn(move |request| {
        let answered = answer(state.clone(), request);
        let lingering = lingering.clone();
        async move {
            let reply = answered.await;
            lingering.observe(&reply);
            Ok::<_, Infallible>(reply)
        }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        let _ = connection.await;
        drop(slot);
    });
}
