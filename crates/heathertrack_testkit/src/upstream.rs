//! Stand-in of an upstream: tasks sleep instead of using CPU time, and every start is recorded.

mod mode;
mod start;

pub use mode::{Mode, Setting};
pub use start::{Start, max_concurrent};

use crate::precise_timer;
use crate::server::{Action, ReceivedRequest, json, serve, status};
use hyper::StatusCode;
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Stand-in of an upstream. Clones share their state.
#[derive(Clone, Debug)]
pub struct Upstream {
    inner: Arc<Mutex<Inner>>,
    slots: Arc<Semaphore>,
}

#[derive(Debug, Default)]
struct Inner {
    starts: Vec<Start>,
    setting: Setting,
}

/// Fields of a task's body that the stand-in reads: the work to simulate.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct Work {
    /// Run time at nominal speed, in microseconds.
    us: u64,
}

impl Upstream {
    /// Creates a stand-in with a number of slots; further tasks are queued in order of arrival.
    pub fn new(slots: usize, setting: Setting) -> Self {
        Upstream {
            inner: Arc::new(Mutex::new(Inner { starts: Vec::new(), setting })),
            slots: Arc::new(Semaphore::new(slots)),
        }
    }

    /// Serves on an address until the process ends.
    pub async fn serve(self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        self.serve_on(listener).await;
        Ok(())
    }

    /// Serves on a listener until the process ends.
    pub async fn serve_on(self, listener: TcpListener) {
        serve(listener, move |request| self.clone().handle(request)).await;
    }

    /// Returns all starts so far.
    pub fn starts(&self) -> Vec<Start> {
        self.lock().starts.clone()
    }

    /// Changes the behaviour towards tasks that start from now on.
    pub fn set(&self, setting: Setting) {
        self.lock().setting = setting;
    }

    async fn handle(self, request: ReceivedRequest) -> Action {
        match request.path.as_str() {
            "/control/starts" => return json(&self.starts()),
            "/control/setting" => {
                let Ok(setting) = serde_json::from_slice(&request.body) else {
                    return status(StatusCode::BAD_REQUEST);
                };
                self.set(setting);
                return status(StatusCode::OK);
            }
            _ => {}
        }
        // Only `Refuse` closes the connection before the start is recorded.
        if self.lock().setting.mode == Mode::Refuse {
            return Action::Close;
        }
        // Spawned, so that the task goes on when its connection is closed.
        match tokio::spawn(self.run_until_deadline(request)).await {
            Ok(Some(action)) => action,
            // The caller stops waiting at the deadline by itself.
            Ok(None) => std::future::pending().await,
            Err(_) => Action::Close,
        }
    }

    /// Runs a task and records its start and end. Returns `None` if its deadline ended it.
    async fn run_until_deadline(self, request: ReceivedRequest) -> Option<Action> {
        let index = self.record_start(&request);
        let run = self.run(&request);
        let action = match request.time_left {
            Some(time_left) => tokio::time::timeout(time_left, run).await.ok(),
            None => Some(run.await),
        };
        let ended = crate::wall_clock_us();
        self.lock().starts[index].ended_us = Some(ended);
        action
    }

    /// Records the start, before the task waits for a slot, and returns its index.
    fn record_start(&self, request: &ReceivedRequest) -> usize {
        let started_us = crate::wall_clock_us();
        let mut inner = self.lock();
        let key = request.task_key.clone();
        inner.starts.push(Start { key, path: request.path.clone(), started_us, ended_us: None });
        inner.starts.len() - 1
    }

    /// Runs a task in the current mode. Only in the mode `Work` does it wait for a slot.
    async fn run(&self, request: &ReceivedRequest) -> Action {
        let setting = self.lock().setting;
        match setting.mode {
            Mode::Fail => return status(StatusCode::INTERNAL_SERVER_ERROR),
            Mode::Hang => std::future::pending().await,
            Mode::DropConnection | Mode::Refuse => return Action::Close,
            Mode::Work => {}
        }
        let _slot = self.slots.acquire().await;
        let work: Work = serde_json::from_slice(&request.body).unwrap_or_default();
        let run_time = Duration::from_micros(work.us).mul_f64(setting.slowness);
        let total = run_time + Duration::from_micros(setting.latency_us);
        precise_timer::sleep(total).await;
        let body: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
        json(&serde_json::json!({"task": request.task_key, "path": request.path, "body": body}))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no request panics while it holds the lock")
    }
}
