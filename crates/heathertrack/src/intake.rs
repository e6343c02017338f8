//! Decides which connections give way when clients that nobody controls hold too much together.
//!
//! ```
//! use heathertrack::clock::Time;
//! use heathertrack::intake::{Intake, Limits};
//!
//! let mut intake = Intake::new(Limits { connections: 1, bytes: 1 << 20 });
//! let slow = intake.admit("slow", Time::ZERO);
//! let next = intake.admit("next", Time::from_millis(10));
//! assert!(slow.is_some() && next.is_some());
//! assert_eq!(intake.take_closings()[0].handle, "slow");
//! ```

mod cause;
mod connection;
mod limits;

pub use cause::Cause;
pub use connection::ConnectionKey;
pub use limits::{Limits, Machine, Share};

use crate::clock::Time;
use crate::pool::job::Step;
use connection::{Connection, Phase};
use slotmap::SlotMap;
use std::time::Duration;

/// Bytes that are charged for a connection as such: the buffers of the HTTP library, of 8 KiB in
/// either direction, most of which are rarely filled.
pub const CONNECTION_BYTES: usize = 16 << 10;
/// Bytes of a job above which it counts as large. The jobs of a few hundred tasks are smaller.
const LARGE_JOB_BYTES: usize = 128 << 10;
/// The large jobs in progress, which can't give way, may hold the budget divided by this.
const LARGE_JOBS_PART: usize = 2;
/// What is freed at once is the budget divided by this, so that the connections are not searched again
/// for each piece of a crowd's bodies.
const HEADROOM_PART: usize = 16;
/// Longest time for which a connection may be without a whole request: that for a head and that for a
/// body, as operators usually set them.
pub const MAX_UNFINISHED_TIME: Duration = Duration::from_secs(30);
/// Bytes that a dispatcher holds for a task, apart from its step.
const TASK_BYTES: usize = 256;

/// A connection that was closed, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closing<H> {
    /// Its handle.
    pub handle: H,
    /// Why it had to give way.
    pub cause: Cause,
    /// Bytes that were charged to it.
    pub held: usize,
    /// Time that it has spent on its unfinished request.
    pub unfinished: Duration,
}

/// The connections of one listener, each with a handle by which it is closed.
#[derive(Debug)]
pub struct Intake<H> {
    limits: Limits,
    connections: SlotMap<ConnectionKey, Connection<H>>,
    /// Bytes charged to all connections.
    held: usize,
    /// Bytes of the large jobs in progress.
    large_jobs: usize,
    /// Connections that were closed and not taken yet.
    closings: Vec<Closing<H>>,
}

impl<H> Intake<H> {
    /// Creates an intake without connections.
    pub fn new(limits: Limits) -> Self {
        let connections = SlotMap::with_key();
        Intake { limits, connections, held: 0, large_jobs: 0, closings: Vec::new() }
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the bytes charged to all connections.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the connections that have been closed since the last call.
    pub fn take_closings(&mut self) -> Vec<Closing<H>> {
        std::mem::take(&mut self.closings)
    }

    /// Adds a connection, for which another one may be closed. Returns `None` if requests are in
    /// progress on all others; then the new one has to be closed.
    ///
    /// Addresses the load pattern "crowds open connections and send nothing, or slowly": the one that
    /// has been unfinished for longest gives way, which is never a caller that sends its request at
    /// once.
    pub fn admit(&mut self, handle: H, now: Time) -> Option<ConnectionKey> {
        if self.connections.len() >= self.limits.connections {
            let slowest = self.slowest()?;
            self.close(slowest, Cause::Connections, now);
        }
        let phase = Phase::Unfinished { since: now };
        let key = self.connections.insert(Connection { handle, held: 0, large_job: 0, phase });
        self.hold(key, 0, now);
        Some(key)
    }

    /// Charges a connection with what it holds besides its own buffers, in place of what was charged
    /// before. Returns whether it is still open.
    ///
    /// Addresses the load pattern "many bodies stop short of their end": the largest and slowest
    /// unfinished requests give way, so small ones that arrive at once always find room.
    pub fn hold(&mut self, key: ConnectionKey, bytes: usize, now: Time) -> bool {
        let Some(connection) = self.connections.get_mut(key) else { return false };
        let charged = CONNECTION_BYTES + bytes;
        self.held = self.held - connection.held + charged;
        connection.held = charged;
        if self.held > self.limits.bytes {
            self.make_room(now);
        }
        self.connections.contains_key(key)
    }

    /// Notes that a request has arrived whole, so its connection doesn't give way. `bytes` are those of
    /// its job. Returns whether there is room for it; if not, the connection still waits.
    ///
    /// Addresses the load pattern "jobs of very many short steps": large jobs may not fill the room of
    /// the others, as a job in progress is not dropped.
    pub fn begin_work(&mut self, key: ConnectionKey, bytes: usize, now: Time) -> bool {
        let large_job = if bytes > LARGE_JOB_BYTES { bytes } else { 0 };
        if self.large_jobs + large_job > self.limits.bytes / LARGE_JOBS_PART {
            return false;
        }
        let Some(connection) = self.connections.get_mut(key) else { return false };
        let charged = CONNECTION_BYTES + bytes;
        self.held = self.held - connection.held + charged;
        self.large_jobs = self.large_jobs - connection.large_job + large_job;
        let waiting = std::mem::replace(&mut connection.phase, Phase::Working);
        connection.held = charged;
        connection.large_job = large_job;
        if self.held <= self.limits.bytes {
            return true;
        }
        self.make_room(now);
        let has_room = self.held <= self.limits.bytes;
        if !has_room && let Some(connection) = self.connections.get_mut(key) {
            self.held -= bytes;
            self.large_jobs -= large_job;
            connection.held = CONNECTION_BYTES;
            connection.large_job = 0;
            connection.phase = waiting;
        }
        has_room
    }

    /// Notes that a request begins, or that one has been answered: the connection may give way.
    pub fn await_client(&mut self, key: ConnectionKey, now: Time) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        self.held = self.held - connection.held + CONNECTION_BYTES;
        self.large_jobs -= connection.large_job;
        connection.held = CONNECTION_BYTES;
        connection.large_job = 0;
        connection.phase = Phase::Unfinished { since: now };
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, key: ConnectionKey) -> Option<H> {
        let connection = self.connections.remove(key)?;
        self.held -= connection.held;
        self.large_jobs -= connection.large_job;
        Some(connection.handle)
    }

    /// Closes the connections that have been unfinished for longer than [`MAX_UNFINISHED_TIME`].
    ///
    /// Addresses the load pattern "many requests are sent ahead, and their answers are not read".
    pub fn close_overdue(&mut self, now: Time) {
        let is_overdue = |connection: &Connection<H>| {
            connection.unfinished(now).is_some_and(|time| time > MAX_UNFINISHED_TIME)
        };
        let overdue = self.connections.iter().filter(|(_, connection)| is_overdue(connection));
        let overdue: Vec<ConnectionKey> = overdue.map(|(key, _)| key).collect();
        for key in overdue {
            self.close(key, Cause::Time, now);
        }
    }

    fn close(&mut self, key: ConnectionKey, cause: Cause, now: Time) {
        let Some(connection) = self.connections.get(key) else { return };
        let unfinished = connection.unfinished(now).unwrap_or_default();
        let held = connection.held;
        if let Some(handle) = self.remove(key) {
            self.closings.push(Closing { handle, cause, held, unfinished });
        }
    }

    /// Returns the connection that has been unfinished for longest.
    fn slowest(&self) -> Option<ConnectionKey> {
        let since = |connection: &Connection<H>| match connection.phase {
            Phase::Unfinished { since } => Some(since),
            Phase::Working => None,
        };
        let unfinished =
            self.connections.iter().filter_map(|(key, found)| Some((since(found)?, key)));
        unfinished.min().map(|(_, key)| key)
    }

    /// Closes unfinished connections, the largest and slowest first, until some headroom is free.
    fn make_room(&mut self, now: Time) {
        let weight = |(key, connection): (ConnectionKey, &Connection<H>)| {
            Some((connection.weight(now)?, key))
        };
        let mut unfinished: Vec<_> = self.connections.iter().filter_map(weight).collect();
        unfinished.sort_unstable();
        let target = self.limits.bytes - self.limits.bytes / HEADROOM_PART;
        while self.held > target
            && let Some((_, key)) = unfinished.pop()
        {
            self.close(key, Cause::Bytes, now);
        }
    }
}

/// Returns an estimate of the bytes that a job holds until it ends.
pub fn job_bytes(spec: &str, steps: &[Step]) -> usize {
    let step_bytes = |step: &Step| {
        size_of::<Step>() + step.after.len() * size_of::<u32>() + step.count as usize * TASK_BYTES
    };
    spec.len() + steps.iter().map(step_bytes).sum::<usize>()
}
