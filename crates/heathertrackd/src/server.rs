//! RPC server for the other entry hosts.

mod remote_jobs;

pub use remote_jobs::RemoteJobs;

use crate::dispatch::Work;
use crate::peers::MAX_FRAME_BYTES;
use crate::placement;
use crate::route::{self, KeyRequest};
use crate::state::{Phase, State};
use crate::{drain, gate, heartbeats};
use bytes::Bytes;
use futures::StreamExt;
use heathertrack::dispatch::Task as TaskSpec;
use heathertrack::name::{Class, Customer, Host};
use heathertrack::share::LoanKey;
use heathertrack::ticket::Home;
use heathertrack_wire::caller::Outcome;
use heathertrack_wire::frame::{
    HandoverPart, HandoverReply, Heartbeat, Lists, Load, Loan, LoanRequest, Submission, Task,
    TaskEnd, TaskReport,
};
use heathertrack_wire::service::Peers;
use std::sync::Arc;
use std::time::Duration;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel, Config};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::length_delimited::LengthDelimitedCodec;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Limit of concurrent connections of peers.
const MAX_CONNECTIONS: usize = 256;
/// Limit of answers queued to be written on one connection.
const MAX_PENDING_RESPONSES: usize = 1_024;
/// Pause after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Starts serving peers on a listener.
pub fn spawn(state: &Arc<State>, listener: TcpListener) {
    tokio::spawn(accept(state.clone(), listener));
}

async fn accept(state: Arc<State>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.shutdown.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            state.timer.wait(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        // Over the limit the connection is closed at once.
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let state = state.clone();
        tokio::spawn(async move {
            let shutdown = state.shutdown.clone();
            tokio::select! {
                () = serve(state, stream) => {}
                () = shutdown.cancelled() => {}
            }
            drop(permit);
        });
    }
}

async fn serve(state: Arc<State>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    let framed = tarpc::tokio_util::codec::Framed::new(stream, codec);
    let transport = serde_transport::new(framed, Bincode::default());
    let config = Config { pending_response_buffer: MAX_PENDING_RESPONSES };
    let channel = BaseChannel::new(config, transport);
    let service = PeerService { state };
    let calls = channel.execute(service.serve());
    calls
        .for_each(|call| async {
            tokio::spawn(call);
        })
        .await;
}

/// Answers the calls on one connection.
#[derive(Clone)]
struct PeerService {
    state: Arc<State>,
}

impl Peers for PeerService {
    async fn heartbeat(self, _: Context, heartbeat: Heartbeat) -> Heartbeat {
        heartbeats::receive(&self.state, &heartbeat);
        heartbeats::reply(&self.state, &heartbeat.from)
    }

    async fn submit(self, _: Context, submission: Submission) -> Option<Outcome> {
        let state = self.state;
        // Spawned, so that the job continues even if the sender cancels this call.
        let answer = tokio::spawn(async move { submit(&state, submission).await });
        answer.await.ok().flatten()
    }

    async fn run_task(self, _: Context, task: Task) -> TaskReport {
        let state = self.state.clone();
        let end = self.state.tasks.spawn(async move { run_for_peer(&state, task).await });
        let end = end.await.unwrap_or_else(|error| TaskEnd::Lost(error.to_string()));
        let load = Load::from(&self.state.dispatcher.load(self.state.now()));
        TaskReport { end, load }
    }

    async fn cancel_job(self, _: Context, job: String) {
        self.state.remote_jobs.cancel(&job);
    }

    async fn offer_slots(self, _: Context, host: String, load: Load) {
        placement::handle_offer(&self.state, &Host::new(host), &load);
    }

    async fn borrow(self, _: Context, request: LoanRequest) -> Option<Loan> {
        gate::handle_loan_request(&self.state, &request)
    }

    async fn repay(self, _: Context, customer: String, key: u64) {
        self.state.gate.end_loan(&Customer::new(customer), LoanKey(key));
    }

    async fn lists(self, _: Context) -> Lists {
        self.state.lists.frame()
    }

    async fn take_over(self, _: Context, part: HandoverPart) -> HandoverReply {
        drain::accept_handover(&self.state, part)
    }
}

/// Handles a caller's request that a peer has forwarded. Returns `None` if it is meant for another
/// incarnation of this host, or its key can't be parsed.
async fn submit(state: &Arc<State>, submission: Submission) -> Option<Outcome> {
    let home = Home::from(&submission.home);
    if home != state.home {
        return None;
    }
    let key = submission.key.parse().ok()?;
    let customer = Customer::new(&submission.customer);
    let time_left = Duration::from_millis(submission.remaining_ms);
    let request =
        KeyRequest { customer: &customer, key: &key, action: submission.action, time_left };
    let current = state.successions().current(&home);
    if current != state.home {
        // The sender does not know the succession yet.
        return Some(Arc::unwrap_or_clone(route::forward(state, &current, &request).await));
    }
    Some(Arc::unwrap_or_clone(route::run_local(state, &request).await))
}

/// Runs a task for a peer.
async fn run_for_peer(state: &Arc<State>, frame: Task) -> TaskEnd {
    if state.phase() >= Phase::Draining {
        return TaskEnd::Unstarted("this host is stopping".to_owned());
    }
    let job = frame.job();
    let now = state.now();
    let task = TaskSpec {
        customer: Customer::new(&frame.customer),
        class: Class::new(&frame.class),
        worth: frame.worth,
        arrived: now - Duration::from_micros(frame.age_us),
        deadline: now + Duration::from_micros(frame.remaining_us),
        declared: Duration::from_micros(frame.declared_us),
        needs: (&frame.needs).into(),
        job_longest: Duration::from_micros(frame.job_longest_us),
        job_work: Duration::from_micros(frame.job_work_us),
    };
    let work = Arc::new(Work {
        key: frame.key,
        path: frame.path,
        body: Bytes::from(frame.body),
        hops: frame.hops,
    });
    let remote_task = state.remote_jobs.register(&job);
    placement::run_local(state, &task, &work, remote_task.cancel_token()).await
}
