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
    Acceptance, Beat, HandOver, Lists, Load, Loan, LoanRequest, Submission, Task, TaskEnd,
    TaskReport,
};
use heathertrack_wire::service::PeersClient;
use link::{Dial, Link};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tarpc::client::RpcError;
use tarpc::context::Context;

/// Timeout of a call that the peer answers at once.
const SHORT_CALL: Duration = Duration::from_secs(1);
/// Timeout of one part of a hand-over.
const HAND_OVER_CALL: Duration = Duration::from_secs(5);
/// Added to a job's remaining time, so that the peer's answer comes before the call times out here.
const SPARE: Duration = Duration::from_secs(2);
/// Limit of jobs for which the peers that got their tasks are tracked.
const REMEMBERED_JOBS: usize = 100_000;

/// Connections to the other entry hosts.
#[derive(Debug, Default)]
pub struct Peers {
    links: Mutex<HashMap<Host, Arc<Link>>>,
    /// Peers that got tasks of a job, by job.
    sent: Mutex<HashMap<String, HashSet<Host>>>,
}

/// Result of a call.
#[derive(Debug)]
pub enum Sent<T> {
    /// The peer answered.
    Answer(T),
    /// No answer came; the call may have arrived.
    Lost,
    /// The call was never sent.
    Unsent,
}

impl<T> Sent<T> {
    fn answer(self) -> Option<T> {
        match self {
            Sent::Answer(answer) => Some(answer),
            Sent::Lost | Sent::Unsent => None,
        }
    }
}

/// A client and the link that it uses.
struct Line {
    client: PeersClient,
    link: Arc<Link>,
}

impl Line {
    /// Converts the result of a call. After any error but a timeout, the next call reconnects.
    fn judge<T>(&self, result: Result<T, RpcError>) -> Sent<T> {
        match result {
            Ok(answer) => Sent::Answer(answer),
            Err(RpcError::DeadlineExceeded) => Sent::Lost,
            Err(_) => {
                self.link.reset();
                Sent::Lost
            }
        }
    }
}

fn within(span: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + span;
    context
}

impl Peers {
    /// Sends a heartbeat.
    pub async fn beat(&self, state: &State, peer: &Host, beat: Beat) -> Option<Beat> {
        let line = self.line(state, peer).await?;
        let result = line.client.beat(within(SHORT_CALL), beat).await;
        line.judge(result).answer()
    }

    /// Sends a caller's request to the home of its key.
    pub async fn submit(
        &self,
        state: &State,
        peer: &Host,
        submission: Submission,
        left: Duration,
    ) -> Sent<Option<Outcome>> {
        let Some(line) = self.line(state, peer).await else {
            return Sent::Unsent;
        };
        let result = line.client.submit(within(left + SPARE), submission).await;
        line.judge(result)
    }

    /// Sends a task to a peer to be run. Returns `None` if it was never sent.
    pub async fn run(
        &self,
        state: &State,
        peer: &Host,
        task: Task,
        deadline: Time,
    ) -> Option<TaskReport> {
        let line = self.line(state, peer).await?;
        self.remember(task.job(), peer);
        let left = deadline.since(state.now());
        let result = line.client.run(within(left + SPARE), task).await;
        match line.judge(result) {
            Sent::Answer(report) => Some(report),
            Sent::Unsent => None,
            Sent::Lost => {
                let end = TaskEnd::Lost(format!("{peer} was lost while it had the task"));
                Some(TaskReport { end, load: Load::default() })
            }
        }
    }

    /// Tells the peers that got tasks of a job to drop those still queued.
    pub fn cancel_job(&self, state: &Arc<State>, job: &str) {
        let peers = lock(&self.sent).remove(job).unwrap_or_default();
        for peer in peers {
            let state = state.clone();
            let job = job.to_owned();
            tokio::spawn(async move {
                metrics::message("cancel");
                if let Some(line) = state.peers.line(&state, &peer).await {
                    let result = line.client.cancel_job(within(SHORT_CALL), job).await;
                    line.judge(result);
                }
            });
        }
    }

    /// Forgets which peers got tasks of a job.
    pub fn forget_job(&self, job: &str) {
        lock(&self.sent).remove(job);
    }

    fn remember(&self, job: String, peer: &Host) {
        let mut sent = lock(&self.sent);
        if sent.len() < REMEMBERED_JOBS || sent.contains_key(&job) {
            sent.entry(job).or_default().insert(peer.clone());
        }
    }

    /// Offers free slots to a peer.
    pub async fn offer(&self, state: &State, peer: &Host, load: Load) {
        let Some(line) = self.line(state, peer).await else {
            return;
        };
        let host = state.home.host.to_string();
        let result = line.client.offer(within(SHORT_CALL), host, load).await;
        line.judge(result);
    }

    /// Asks a peer for a loan from its share.
    pub async fn borrow(&self, state: &State, peer: &Host, request: LoanRequest) -> Option<Loan> {
        let line = self.line(state, peer).await?;
        let result = line.client.borrow(within(SHORT_CALL), request).await;
        line.judge(result).answer().flatten()
    }

    /// Repays a loan.
    pub async fn repay(&self, state: &State, peer: &Host, customer: &Customer, key: LoanKey) {
        let Some(line) = self.line(state, peer).await else {
            return;
        };
        let result = line.client.repay(within(SHORT_CALL), customer.to_string(), key.0).await;
        line.judge(result);
    }

    /// Fetches the lists in force on a peer.
    pub async fn lists(&self, state: &State, peer: &Host) -> Option<Lists> {
        let line = self.line(state, peer).await?;
        let result = line.client.lists(within(SHORT_CALL)).await;
        line.judge(result).answer()
    }

    /// Hands a part of this host's records to a peer.
    pub async fn take_over(&self, state: &State, peer: &Host, part: HandOver) -> Sent<Acceptance> {
        let Some(line) = self.line(state, peer).await else {
            return Sent::Unsent;
        };
        let result = line.client.take_over(within(HAND_OVER_CALL), part).await;
        line.judge(result)
    }

    async fn line(&self, state: &State, peer: &Host) -> Option<Line> {
        let address = state.view().entry(peer)?.address.clone();
        let link = self.link(peer, &address);
        match link.client().await {
            Dial::Client(client) => Some(Line { client, link }),
            Dial::Refused => {
                state.view().refuse(peer);
                None
            }
            Dial::Failed => None,
        }
    }

    fn link(&self, peer: &Host, address: &str) -> Arc<Link> {
        let mut links = lock(&self.links);
        let link = links.entry(peer.clone()).or_insert_with(|| Link::new(address));
        if link.address() != address {
            *link = Link::new(address);
        }
        link.clone()
    }
}
