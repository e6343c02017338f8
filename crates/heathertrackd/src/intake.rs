//! Keeps what the connections of a listener hold within its limits, by the decisions of
//! [`heathertrack::intake`].

pub mod body;
mod connection;
mod stream;
mod tally;

pub use connection::{Connection, Guard};
pub use stream::Stream;
pub use tally::Tally;

use crate::metrics;
use heathertrack::clock::Time;
use heathertrack::intake::{self, Cause, ConnectionKey, Limits};
use hyper::server::conn::http1;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Number of the causes for which connections are closed.
const CAUSES: usize = Cause::ALL.len();

/// Largest head of a request that needs no body, in bytes: the smallest buffer that the HTTP library
/// accepts.
const SMALL_HEAD_BYTES: usize = 8 << 10;

/// Returns an HTTP server for requests without bodies, such as checks and readings of metrics.
pub fn small_requests() -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(SMALL_HEAD_BYTES);
    builder
}

/// Sent to the task of a connection that has to give way.
type Closer = oneshot::Sender<()>;

/// The connections of one listener.
#[derive(Clone, Debug)]
pub struct Intake(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    /// Name in logs and metrics.
    listener: &'static str,
    opened: Instant,
    connections: usize,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    intake: intake::Intake<Closer>,
    tallies: [Tally; CAUSES],
}

impl Intake {
    /// Creates the intake of a listener, which has a name in logs and metrics.
    pub fn new(listener: &'static str, limits: Limits) -> Self {
        let state = State { intake: intake::Intake::new(limits), tallies: Default::default() };
        Intake(Arc::new(Shared {
            listener,
            opened: Instant::now(),
            connections: limits.connections,
            state: Mutex::new(state),
        }))
    }

    /// Returns the name in logs and metrics.
    pub fn listener(&self) -> &'static str {
        self.0.listener
    }

    /// Adds an accepted connection. Returns `None` if it has to be closed.
    pub fn admit(&self) -> Option<Connection> {
        let (closer, closed) = oneshot::channel();
        let Some(key) = self.change(|intake, now| intake.admit(closer, now)) else {
            self.note_closing(&mut self.lock(), Cause::InProgress, 0, Duration::ZERO);
            return None;
        };
        Some(Connection::new(self.clone(), key, closed))
    }

    /// Returns whether connections have to give way to a new one.
    pub fn is_full(&self) -> bool {
        self.lock().intake.connections() >= self.0.connections
    }

    /// Returns the number of open connections, and the bytes that are charged to them.
    pub fn usage(&self) -> (usize, usize) {
        let state = self.lock();
        (state.intake.connections(), state.intake.held())
    }

    /// Closes connections that are without a whole request for too long, and returns what was closed
    /// since the last call, by cause.
    pub fn check(&self) -> Vec<(Cause, Tally)> {
        self.change(intake::Intake::close_overdue);
        let tallies = std::mem::take(&mut self.lock().tallies);
        let tallies = Cause::ALL.into_iter().zip(tallies);
        tallies.filter(|(_, tally)| tally.connections > 0).collect()
    }

    /// Applies a change, and closes the connections that have to give way.
    fn change<T>(&self, change: impl FnOnce(&mut intake::Intake<Closer>, Time) -> T) -> T {
        let now = Time::ZERO + self.0.opened.elapsed();
        let mut state = self.lock();
        let result = change(&mut state.intake, now);
        for closing in state.intake.take_closings() {
            self.note_closing(&mut state, closing.cause, closing.held, closing.unfinished);
            // The connection may have ended by itself.
            let _ = closing.handle.send(());
        }
        result
    }

    fn note_closing(&self, state: &mut State, cause: Cause, held: usize, unfinished: Duration) {
        metrics::connections_closed(self.0.listener, cause.name(), 1);
        state.tallies[cause as usize].add(held, unfinished);
    }

    fn remove(&self, key: ConnectionKey) {
        self.change(|intake, _| intake.remove(key));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
