//! Places each task on the dispatcher, of this host or of a peer, where it is expected to end
//! first.

use crate::dispatch::{Pending, Work};
use crate::metrics;
use crate::state::{State, lock};
use heathertrack::clock::Time;
use heathertrack::dispatch::{Admission, Demand, Load, Needs, PeerSelector, Refusal, Target, Task};
use heathertrack::name::Host;
use heathertrack_wire::frame::{self, TaskEnd};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Delay of sending a task to a peer, added to its expected end there.
const HOP_DELAY: Duration = Duration::from_millis(1);
/// Most attempts to run a task that comes back unstarted each time. Waiting for an upstream that
/// can hold the task does not count as an attempt.
const MAX_ATTEMPTS: u32 = 5;
/// Delay before a task that came back unstarted is placed again.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest backoff before a task that no known upstream can hold is placed again.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Most times that a task is forwarded from host to host.
pub const MAX_HOPS: u8 = 2;

/// Loads of the peers and sizes of the upstreams, from which tasks are placed and jobs admitted.
#[derive(Debug)]
pub struct Placement {
    peer_selector: Mutex<PeerSelector>,
    /// Sizes of the data centre's upstreams.
    upstream_sizes: Mutex<Vec<Needs>>,
    /// Time of the last offer of free slots.
    last_offer: Mutex<Time>,
}

/// Shortest interval between two offers of free slots.
const OFFER_INTERVAL: Duration = Duration::from_millis(2);

impl Placement {
    /// Creates a placement without any peers.
    pub fn new() -> Self {
        Placement {
            peer_selector: Mutex::new(PeerSelector::new(HOP_DELAY)),
            upstream_sizes: Mutex::default(),
            last_offer: Mutex::default(),
        }
    }

    /// Records the latest load reported by a peer.
    pub fn update_peer_load(&self, peer: &Host, load: &frame::Load) {
        lock(&self.peer_selector).update_load(peer, load.into());
    }

    /// Keeps only the loads of the peers for which `keep` returns true.
    pub fn retain_peers(&self, keep: impl Fn(&Host) -> bool) {
        lock(&self.peer_selector).retain(keep);
    }

    /// Sets the sizes of the data centre's upstreams.
    pub fn set_upstream_sizes(&self, sizes: Vec<Needs>) {
        *lock(&self.upstream_sizes) = sizes;
    }

    /// Checks that the job's tasks fit on some upstream and that the job can be answered in time.
    pub fn admit(
        &self,
        local: Load,
        demands: &[Demand],
        time_left: Duration,
    ) -> Result<(), Refusal> {
        let mut loads: Vec<Load> =
            lock(&self.peer_selector).peers().map(|(_, load)| load.clone()).collect();
        loads.push(local);
        let upstream_sizes = lock(&self.upstream_sizes);
        let admission = Admission { loads: &loads, upstream_sizes: &upstream_sizes };
        admission.check_sizes(demands.iter().map(|demand| demand.needs))?;
        admission.check_time(demands.iter().copied(), time_left)
    }

    /// Offers free slots to a peer that reported queued tasks, if there is one.
    pub fn offer(&self, state: &Arc<State>, load: &Load) {
        let now = state.now();
        {
            let mut last_offer = lock(&self.last_offer);
            if now.since(*last_offer) < OFFER_INTERVAL {
                return;
            }
            *last_offer = now;
        }
        let mut peer_selector = lock(&self.peer_selector);
        let Some(peer) = peer_selector.peers_with_backlog().into_iter().next() else {
            return;
        };
        peer_selector.mark_offered(&peer);
        drop(peer_selector);
        let state = state.clone();
        let load = frame::Load::from(load);
        tokio::spawn(async move {
            metrics::message("offer");
            state.peers.offer(&state, &peer, load).await;
        });
    }

    /// Chooses the dispatcher where a task is expected to end first.
    fn choose(&self, state: &State, task: &Task) -> Target {
        let expected = state.dispatcher.expect(&task.class, task.declared);
        let mut local = state.dispatcher.load(state.now());
        lock(&self.peer_selector).choose(&mut local, expected, &task.needs)
    }
}

/// Runs a task on the dispatcher where it is expected to end first. A task that comes back
/// unstarted is placed again, until its deadline.
pub async fn run(
    state: &Arc<State>,
    task: &Task,
    work: &Arc<Work>,
    cancel: &CancellationToken,
) -> TaskEnd {
    let mut last_reason = "it was cancelled".to_owned();
    let mut attempts = 0;
    let mut backoff = RETRY_DELAY;
    while attempts < MAX_ATTEMPTS && !cancel.is_cancelled() && state.now() < task.deadline {
        let end = match state.placement.choose(state, task) {
            Target::Local => run_local(state, task, work, cancel).await,
            Target::Peer(peer) => run_on_peer(state, &peer, task, work).await,
            Target::Nowhere => {
                // An upstream that can hold the task may come back, or the host that now serves it
                // may report it.
                last_reason = "no upstream that is served now can hold it".to_owned();
                wait_to_retry(state, backoff, cancel).await;
                backoff = (2 * backoff).min(MAX_BACKOFF);
                continue;
            }
        };
        match end {
            TaskEnd::Unstarted(reason) => last_reason = reason,
            end => return end,
        }
        attempts += 1;
        wait_to_retry(state, RETRY_DELAY, cancel).await;
    }
    TaskEnd::Unstarted(last_reason)
}

/// Waits before a task is placed again. Returns early if the task is cancelled.
async fn wait_to_retry(state: &State, delay: Duration, cancel: &CancellationToken) {
    tokio::select! {
        () = state.timer.wait(delay) => {}
        () = cancel.cancelled() => {}
    }
}

/// Runs a task on this host's dispatcher.
pub async fn run_local(
    state: &Arc<State>,
    task: &Task,
    work: &Arc<Work>,
    cancel: &CancellationToken,
) -> TaskEnd {
    let Some((key, mut end)) = state.dispatcher.submit(state, task.clone(), work.clone()) else {
        return TaskEnd::Unstarted("the queue is full".to_owned());
    };
    let ended = tokio::select! {
        ended = &mut end => ended,
        () = cancel.cancelled() => {
            // A task that has started is not interrupted; its permit is held until it ends.
            state.dispatcher.cancel(key);
            end.await
        }
    };
    ended.unwrap_or_else(|_| TaskEnd::Lost("its dispatcher dropped it".to_owned()))
}

/// Runs a task on a peer's dispatcher.
async fn run_on_peer(state: &Arc<State>, peer: &Host, task: &Task, work: &Arc<Work>) -> TaskEnd {
    metrics::message("run");
    let frame = task_frame(state, task, work);
    match state.peers.run(state, peer, frame, task.deadline).await {
        Some(report) => {
            state.placement.update_peer_load(peer, &report.load);
            report.end
        }
        None => {
            // No task is placed there until the peer reports its load again.
            state.placement.retain_peers(|host| host != peer);
            TaskEnd::Unstarted(format!("{peer} cannot be reached"))
        }
    }
}

fn task_frame(state: &State, task: &Task, work: &Work) -> frame::Task {
    let now = state.now();
    let micros = |span: Duration| u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    frame::Task {
        key: work.key.clone(),
        customer: task.customer.to_string(),
        class: task.class.to_string(),
        worth: task.worth,
        age_us: micros(now.since(task.arrived)),
        remaining_us: micros(task.deadline.since(now)),
        path: work.path.clone(),
        body: String::from_utf8_lossy(&work.body).into_owned(),
        declared_us: micros(task.declared),
        needs: (&task.needs).into(),
        job_longest_us: micros(task.job_longest),
        job_work_us: micros(task.job_work),
        hops: work.hops.saturating_sub(1),
    }
}

/// Forwards queued tasks to a peer that offered free slots.
pub fn handle_offer(state: &Arc<State>, peer: &Host, load: &frame::Load) {
    state.placement.update_peer_load(peer, load);
    let load = Load::from(load);
    let fits =
        |task: &Task, pending: &Pending| pending.work.hops > 0 && load.can_start(&task.needs);
    let taken = state.dispatcher.core().take_for_peer(load.free_count() as usize, fits);
    if taken.is_empty() {
        metrics::wasted("offer");
    }
    for pending in taken {
        state.tasks.spawn(forward(state.clone(), peer.clone(), pending));
    }
}

/// Forwards all queued tasks to the peers in turn, also those that have used up their hops. Used
/// when this host stops and no longer serves any upstream.
pub fn forward_all(state: &Arc<State>) {
    let peers: Vec<Host> =
        lock(&state.placement.peer_selector).peers().map(|(host, _)| host.clone()).collect();
    if peers.is_empty() {
        return;
    }
    let taken = state.dispatcher.core().take_for_peer(usize::MAX, |_, _| true);
    for (index, pending) in taken.into_iter().enumerate() {
        let peer = peers[index % peers.len()].clone();
        state.tasks.spawn(forward(state.clone(), peer, pending));
    }
}

/// Runs a task that was taken from this host's queue on a peer, and reports its end.
async fn forward(state: Arc<State>, peer: Host, pending: Pending) {
    let end = match run_on_peer(&state, &peer, &pending.task, &pending.work).await {
        TaskEnd::Unstarted(_) if state.now() < pending.task.deadline => {
            // The peer did not accept the task, so it is queued here again.
            let never_cancelled = CancellationToken::new();
            run_local(&state, &pending.task, &pending.work, &never_cancelled).await
        }
        end => end,
    };
    let _ = pending.done.send(end);
}
