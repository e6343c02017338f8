//! Carries out the dispatcher's decisions: queues tasks, assigns them to upstreams and sends them.

use crate::call::{Call, CallOutcome, MAX_ANSWER_BYTES};
use crate::log::Event;
use crate::metrics;
use crate::state::{State, lock};
use bytes::Bytes;
use heathertrack::clock::Time;
use heathertrack::dispatch::{
    Assignment, Dispatcher, Finish, Load, Options, QueueKey, RunKey, Spec, Task,
};
use heathertrack::name::{Class, Upstream};
use heathertrack_platform::Client;
use heathertrack_wire::frame::TaskEnd;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::oneshot;

/// Most times that a task is assigned to an upstream if each attempt fails before a byte is sent.
const MAX_ATTEMPTS: u32 = 5;
/// Most idle connections kept open to one upstream; more than any upstream of the users has slots.
const IDLE_CONNECTIONS: usize = 64;
/// Timeout of calls that don't run a task; those that run one are bounded by its deadline.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Request that runs a task on an upstream.
#[derive(Debug)]
pub struct Work {
    /// `<job key>/<index>`.
    pub key: String,
    pub path: String,
    pub body: Bytes,
    /// Number of times the task may still be forwarded to a peer.
    pub hops: u8,
}

/// A task that is queued at the dispatcher or in flight.
#[derive(Debug)]
pub struct Pending {
    pub task: Task,
    pub work: Arc<Work>,
    /// Receives the end of the task.
    pub done: oneshot::Sender<TaskEnd>,
    /// Failed attempts to send it to an upstream.
    attempts: u32,
    /// Time at which it was first queued here.
    queued_at: Time,
}

/// The dispatcher of this host.
#[derive(Debug)]
pub struct DispatchService {
    core: Mutex<Dispatcher<Pending>>,
    client: Client,
}

impl DispatchService {
    /// Creates a dispatcher without upstreams.
    pub fn new(options: Options) -> Self {
        let client = Client::new(CALL_TIMEOUT)
            .with_max_response_bytes(MAX_ANSWER_BYTES)
            .with_max_idle_connections(IDLE_CONNECTIONS);
        DispatchService { core: Mutex::new(Dispatcher::new(options)), client }
    }

    /// Locks the part that makes the decisions. The dispatcher is blocked until the guard is
    /// dropped.
    pub fn core(&self) -> MutexGuard<'_, Dispatcher<Pending>> {
        lock(&self.core)
    }

    /// Returns the current load of the dispatcher.
    pub fn load(&self, now: Time) -> Load {
        self.core().load(now)
    }

    /// Returns the expected duration of a task on an upstream of nominal speed.
    pub fn expect(&self, class: &Class, declared: Duration) -> Duration {
        self.core().expected_run_time(class, declared)
    }

    /// Replaces the list of upstreams and closes idle connections to those not listed. `owned`
    /// returns whether this host dispatches to an upstream.
    pub fn update(&self, listed: &[Spec], owned: impl Fn(&Upstream) -> bool, now: Time) {
        self.core().update(listed, owned, now);
        self.client.retain(|address| listed.iter().any(|spec| spec.address == address));
    }

    /// Queues a task. Returns `None` if the queue is full.
    pub fn submit(
        &self,
        state: &Arc<State>,
        task: Task,
        work: Arc<Work>,
    ) -> Option<(QueueKey, oneshot::Receiver<TaskEnd>)> {
        let (done, end) = oneshot::channel();
        let now = state.now();
        let pending = Pending { task: task.clone(), work, done, attempts: 0, queued_at: now };
        let key = self.core().enqueue(task, pending, now).ok()?;
        self.run_queue(state);
        Some((key, end))
    }

    /// Removes a task that is still queued and reports it as unstarted. Returns whether the task
    /// was queued.
    pub fn cancel(&self, key: QueueKey) -> bool {
        let cancelled = self.core().cancel(key);
        let was_queued = cancelled.is_some();
        if let Some(pending) = cancelled {
            let _ = pending.done.send(TaskEnd::Unstarted("cancelled".to_owned()));
        }
        was_queued
    }

    /// Sends the queued tasks that no upstream of this host can hold any more back to their homes,
    /// which place them again.
    pub fn return_unplaceable(&self) {
        let unplaceable = self.core().take_unplaceable();
        for pending in unplaceable {
            let reason = "no upstream of its dispatcher can hold it".to_owned();
            let _ = pending.done.send(TaskEnd::Unstarted(reason));
        }
    }

    /// Ends queued tasks that have expired, starts those that can start, and offers free slots to a
    /// peer if no task is queued here any more.
    pub fn run_queue(&self, state: &Arc<State>) {
        let now = state.now();
        let (expired, assignments, load) = {
            let mut core = self.core();
            let expired = core.expire(now);
            let assignments = core.assign(now);
            (expired, assignments, core.load(now))
        };
        for pending in expired {
            let _ = pending.done.send(TaskEnd::Unstarted("its deadline passed".to_owned()));
        }
        for assignment in assignments {
            let state = state.clone();
            state.tasks.spawn(run(state.clone(), assignment));
        }
        if load.queued == 0 && load.free_count() > 0 {
            state.placement.offer(state, &load);
        }
    }

    /// Records the end of a run, which may eject the upstream.
    fn finish(&self, state: &Arc<State>, upstream: &Upstream, run: RunKey, finish: Finish) {
        let ejected = self.core().finish(run, finish, state.now());
        if ejected {
            metrics::ejected(upstream);
            state.log.write(&Event::UpstreamEjected(upstream.to_string()));
        }
    }

    /// Requeues a task that could not be sent, unless it has expired or used up its attempts.
    fn requeue(&self, state: &Arc<State>, mut pending: Pending, reason: String) {
        pending.attempts += 1;
        let now = state.now();
        if pending.attempts >= MAX_ATTEMPTS || now >= pending.task.deadline {
            let _ = pending.done.send(TaskEnd::Unstarted(reason));
            return;
        }
        let task = pending.task.clone();
        if let Err(pending) = self.core().enqueue(task, pending, now) {
            let _ = pending.done.send(TaskEnd::Unstarted("the queue is full".to_owned()));
        }
    }
}

/// Sends an assigned task to its upstream and reports its end.
async fn run(state: Arc<State>, assignment: Assignment<Pending>) {
    let Assignment { run, upstream, address, payload: pending } = assignment;
    let now = state.now();
    let task = &pending.task;
    let time_left = task.deadline.since(now);
    metrics::queue_wait(&task.customer, &task.class, now.since(pending.queued_at));
    let call = Call {
        key: pending.work.key.clone(),
        class: task.class.to_string(),
        path: pending.work.path.clone(),
        body: pending.work.body.clone(),
        time_left,
    };
    let service = &state.dispatcher;
    // The process may have been paused since the assignment; an expired task must not start.
    let reply = if time_left.is_zero() {
        CallOutcome::Unsent("its deadline passed".to_owned())
    } else {
        metrics::message("task");
        match tokio::time::timeout(time_left, call.send(&service.client, &address)).await {
            Ok(reply) => reply,
            Err(_) => {
                service.finish(&state, &upstream, run, Finish::Abandoned);
                let _ = pending.done.send(TaskEnd::Lost("no answer in time".to_owned()));
                service.run_queue(&state);
                return;
            }
        }
    };
    match reply {
        CallOutcome::Answered(answer) => {
            service.finish(&state, &upstream, run, Finish::Succeeded);
            let _ = pending.done.send(TaskEnd::Answered(answer));
        }
        CallOutcome::Failed(reason) => {
            service.finish(&state, &upstream, run, Finish::Failed);
            let _ = pending.done.send(TaskEnd::Failed(format!("{upstream}: {reason}")));
        }
        CallOutcome::Lost(reason) => {
            service.finish(&state, &upstream, run, Finish::Failed);
            let _ = pending.done.send(TaskEnd::Lost(format!("{upstream}: {reason}")));
        }
        CallOutcome::Unsent(reason) => {
            service.finish(&state, &upstream, run, Finish::Unsent);
            service.requeue(&state, pending, format!("{upstream}: {reason}"));
        }
    }
    service.run_queue(&state);
}
