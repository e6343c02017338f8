//! Calls to the other entry hosts.

mod link;

pub use link::MAX_FRAME_BYTES;

use crate::metrics;
use crate::state::{State, lock};
use heathertrack::clock::Time;
use heathertrack::name::{Customer, Host};
use heathertrack::share::LoanKey;
use heathertrack_wire::caller::Outcome;
use heathertrack_wire::frame::{
    HandoverPart, HandoverReply, Heartbeat, Lists, Load, Loan, LoanRequest, Submission, Task,
    TaskEnd, TaskReport,
};
use heathertrack_wire::service::PeersClient;
use link::{ConnectResult, Link};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tarpc::client::RpcError;
use tarpc::context::Context;

/// Timeout of a call that the peer answers at once.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of one part of a handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Added to a job's remaining time, so that the peer's answer comes before the call times out here.
const DEADLINE_MARGIN: Duration = Duration::from_secs(2);
/// Maximum number of jobs in [`Peers::task_peers`]. If a job beyond the limit fails, its tasks
/// queued at peers are not cancelled.
const MAX_TRACKED_JOBS: usize = 100_000;

/// Connections to the other entry hosts.
#[derive(Debug, Default)]
pub struct Peers {
    links: Mutex<HashMap<Host, Arc<Link>>>,
    /// Peers that got tasks of a job, by the name of the job, `<customer>/<key>`.
    task_peers: Mutex<HashMap<String, HashSet<Host>>>,
}

/// Result of a call.
#[derive(Debug)]
pub enum CallResult<T> {
    /// The peer answered.
    Answer(T),
    /// No answer came; the call may have arrived.
    Lost,
    /// The call was never sent.
    Unsent,
}

impl<T> CallResult<T> {
    fn answer(self) -> Option<T> {
        match self {
            CallResult::Answer(answer) => Some(answer),
            CallResult::Lost | CallResult::Unsent => None,
        }
    }
}

/// A client and the link that it uses.
struct Connection {
    client: PeersClient,
    link: Arc<Link>,
}

impl Connection {
    /// Converts the result of a call. After any error but a timeout, the link is reset, so that the
    /// next call reconnects. A timeout ends only this call.
    fn finish_call<T>(&self, result: Result<T, RpcError>) -> CallResult<T> {
        match result {
            Ok(answer) => CallResult::Answer(answer),
            Err(RpcError::DeadlineExceeded) => CallResult::Lost,
            Err(_) => {
                self.link.reset();
                CallResult::Lost
            }
        }
    }
}

fn with_timeout(timeout: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + timeout;
    context
}

impl Peers {
    /// Sends a heartbeat. Returns the peer's own heartbeat, or `None` if no answer came.
    pub async fn heartbeat(
        &self,
        state: &State,
        peer: &Host,
        heartbeat: Heartbeat,
    ) -> Option<Heartbeat> {
        let connection = self.connect(state, peer).await?;
        let result = connection.client.heartbeat(with_timeout(CALL_TIMEOUT), heartbeat).await;
        connection.finish_call(result).answer()
    }

    /// Sends a caller's request to the home of its key. The answer is `None` if another process
    /// than that home runs on the peer.
    pub async fn submit(
        &self,
        state: &State,
        peer: &Host,
        submission: Submission,
        time_left: Duration,
    ) -> CallResult<Option<Outcome>> {
        let Some(connection) = self.connect(state, peer).await else {
            return CallResult::Unsent;
        };
        let result =
            connection.client.submit(with_timeout(time_left + DEADLINE_MARGIN), submission).await;
        connection.finish_call(result)
    }

    /// Sends a task to a peer to be run. Returns `None` if it was never sent.
    pub async fn run(
        &self,
        state: &State,
        peer: &Host,
        task: Task,
        deadline: Time,
    ) -> Option<TaskReport> {
        let connection = self.connect(state, peer).await?;
        self.track(task.job(), peer);
        let time_left = deadline.since(state.now());
        let result =
            connection.client.run_task(with_timeout(time_left + DEADLINE_MARGIN), task).await;
        match connection.finish_call(result) {
            CallResult::Answer(report) => Some(report),
            CallResult::Unsent => None,
            CallResult::Lost => {
                // The default load has no free slots, which keeps further tasks away from the peer
                // until its next report.
                let end = TaskEnd::Lost(format!("{peer} was lost while it had the task"));
                Some(TaskReport { end, load: Load::default() })
            }
        }
    }

    /// Tells the peers that got tasks of a job to drop those still queued.
    pub fn cancel_job(&self, state: &Arc<State>, job: &str) {
        let peers = lock(&self.task_peers).remove(job).unwrap_or_default();
        for peer in peers {
            let state = state.clone();
            let job = job.to_owned();
            tokio::spawn(async move {
                // Counted here, once per peer. The other counted messages are counted by the
                // callers of the functions that send them.
                metrics::message("cancel");
                if let Some(connection) = state.peers.connect(&state, &peer).await {
                    let result =
                        connection.client.cancel_job(with_timeout(CALL_TIMEOUT), job).await;
                    connection.finish_call(result);
                }
            });
        }
    }

    /// Forgets which peers got tasks of a job.
    pub fn forget_job(&self, job: &str) {
        lock(&self.task_peers).remove(job);
    }

    fn track(&self, job: String, peer: &Host) {
        let mut task_peers = lock(&self.task_peers);
        if task_peers.len() < MAX_TRACKED_JOBS || task_peers.contains_key(&job) {
            task_peers.entry(job).or_default().insert(peer.clone());
        }
    }

    /// Offers free slots to a peer. A failure is not reported.
    pub async fn offer(&self, state: &State, peer: &Host, load: Load) {
        let Some(connection) = self.connect(state, peer).await else {
            return;
        };
        let host = state.home.host.to_string();
        let result = connection.client.offer_slots(with_timeout(CALL_TIMEOUT), host, load).await;
        connection.finish_call(result);
    }

    /// Asks a peer for a loan from its share. Returns `None` if the peer grants none or no answer
    /// came.
    pub async fn borrow(&self, state: &State, peer: &Host, request: LoanRequest) -> Option<Loan> {
        let connection = self.connect(state, peer).await?;
        let result = connection.client.borrow(with_timeout(CALL_TIMEOUT), request).await;
        connection.finish_call(result).answer().flatten()
    }

    /// Repays a loan. A failure is not reported.
    pub async fn repay(&self, state: &State, peer: &Host, customer: &Customer, key: LoanKey) {
        let Some(connection) = self.connect(state, peer).await else {
            return;
        };
        let result =
            connection.client.repay(with_timeout(CALL_TIMEOUT), customer.to_string(), key.0).await;
        connection.finish_call(result);
    }

    /// Fetches the lists of plans and allowances in force on a peer. Returns `None` if no answer
    /// came.
    pub async fn fetch_lists(&self, state: &State, peer: &Host) -> Option<Lists> {
        let connection = self.connect(state, peer).await?;
        let result = connection.client.lists(with_timeout(CALL_TIMEOUT)).await;
        connection.finish_call(result).answer()
    }

    /// Hands a part of this host's records to a peer.
    pub async fn send_handover_part(
        &self,
        state: &State,
        peer: &Host,
        part: HandoverPart,
    ) -> CallResult<HandoverReply> {
        let Some(connection) = self.connect(state, peer).await else {
            return CallResult::Unsent;
        };
        let result = connection.client.take_over(with_timeout(HANDOVER_TIMEOUT), part).await;
        connection.finish_call(result)
    }

    /// Returns a connection to a peer, or `None` if the peer is not listed or can't be reached. A
    /// peer that refuses the connection counts as unresponsive until its next heartbeat.
    async fn connect(&self, state: &State, peer: &Host) -> Option<Connection> {
        let address = state.view().entry(peer)?.address.clone();
        let link = self.link(peer, &address);
        match link.client().await {
            ConnectResult::Connected(client) => Some(Connection { client, link }),
            ConnectResult::Refused => {
                state.view().mark_unreachable(peer);
                None
            }
            ConnectResult::Failed => None,
        }
    }

    /// Returns the link to a peer; a new one if the peer's address has changed.
    fn link(&self, peer: &Host, address: &str) -> Arc<Link> {
        let mut links = lock(&self.links);
        let link = links.entry(peer.clone()).or_insert_with(|| Link::new(address));
        if link.address() != address {
            *link = Link::new(address);
        }
        link.clone()
    }
}
