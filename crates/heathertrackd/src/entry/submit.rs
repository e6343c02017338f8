//! Submission of a job to a dispatcher, local or remote, and the wait for its outcome.

use super::boot_clock::Clock;
use super::cancel::WaitingJob;
use super::frame::{Frame, Submit};
use super::node::{EntryHost, Environment};
use super::routing::peak_cores;
use super::state::{RemoteJob, Reply};
use heathertrack::name::Host;
use heathertrack::pool::job::{EVACUATED, Outcome, Request};
use heathertrack::pool::{JobKey, Load};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Maximum number of dispatchers that a job is offered to, one after another, as long as none has
/// started any of its tasks. Those that return it because of an evacuation don't count.
const MAX_OFFERS: usize = 2;
/// Share of the objective after which a job that no dispatcher had capacity for is not offered
/// again, unless it is returned because of an evacuation.
const REOFFER_SHARE: f64 = 0.2;
/// Pause between attempts to find a dispatcher while none is known: a fraction of the shortest wait
/// that a job tolerates.
const DISPATCHER_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Longest time from the cancelling of a job to the answer to its caller. The runs have ended by then,
/// if only because their leases have expired.
const MAX_STOP_TIME: Duration = Duration::from_secs(1);
/// Retry-after time sent to a caller when no dispatcher is known: about the duration of a takeover.
const TAKEOVER_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A job submitted to a dispatcher. Dropping it cancels the job.
struct SubmittedJob<E: Environment> {
    entry: Rc<EntryHost<E>>,
    location: Location,
    outcome: oneshot::Receiver<Outcome>,
}

/// Pool that holds a submitted job.
enum Location {
    Local(JobKey),
    /// The dispatcher, and the call number of the job.
    Remote(Host, u64),
}

impl<E: Environment> Drop for SubmittedJob<E> {
    fn drop(&mut self) {
        match &self.location {
            Location::Local(job) => {
                let is_pending = self.entry.state.borrow_mut().replies.remove(job).is_some();
                if is_pending {
                    self.entry.with_pool(|pool, now| pool.cancel(*job, now));
                }
            }
            Location::Remote(host, call) => {
                let mut state = self.entry.state.borrow_mut();
                if state.remote_jobs.remove(call).is_none() {
                    return;
                }
                let Some(peer) = state.peers.get(host) else { return };
                if peer.outbox.send(Frame::Cancel { call: *call }).is_err() {
                    self.entry.event_log.link_full(host);
                }
            }
        }
    }
}

impl<E: Environment> EntryHost<E> {
    /// Runs a job until it ends or is cancelled. Returns the dispatcher that was tried last, if it
    /// is known, and the outcome.
    pub async fn run_job(self: &Rc<Self>, job: Request) -> (Option<Host>, Outcome) {
        let now = self.now();
        if self.state.borrow().pool.is_cancelled(&job.id, now) {
            return (None, Outcome::Cancelled);
        }
        let waiting = WaitingJob::new(self, &job.id);
        let mut running = pin!(self.offer_job(job));
        tokio::select! {
            // An outcome that is ready is delivered.
            biased;
            ended = &mut running => return ended,
            () = waiting.cancelled.notified() => {}
        }
        match timeout(MAX_STOP_TIME, running).await {
            Ok(ended @ (_, Outcome::Completed | Outcome::Failed)) => ended,
            Ok((dispatcher, _)) => (dispatcher, Outcome::Cancelled),
            Err(_) => (None, Outcome::Cancelled),
        }
    }

    /// Offers a job to one dispatcher after another, and waits for its outcome. Returns the
    /// dispatcher that was tried last, and the outcome.
    async fn offer_job(self: &Rc<Self>, job: Request) -> (Option<Host>, Outcome) {
        let mut tried: Vec<Host> = Vec::new();
        let mut offers = 0;
        let mut last_outcome =
            Outcome::NotRun { retry_after: TAKEOVER_RETRY_AFTER, why: "no dispatcher is known" };
        while offers < MAX_OFFERS {
            let now = self.now();
            if self.state.borrow().pool.is_cancelled(&job.id, now) {
                return (tried.pop(), Outcome::Cancelled);
            }
            let is_late = now.since(job.received) > job.objective.mul_f64(REOFFER_SHARE);
            let is_returned = last_outcome.is_evacuation();
            let is_full = last_outcome.is_shortage() && !self.has_room_beyond(&tried);
            if !tried.is_empty() && !is_returned && (is_late || is_full) {
                break;
            }
            let Some(host) = self.choose_dispatcher(&job.steps, &tried, now) else {
                if tried.is_empty() && self.state.borrow().is_evacuated(&job.service) {
                    let retry_after = TAKEOVER_RETRY_AFTER;
                    last_outcome = Outcome::NotRun { retry_after, why: EVACUATED };
                    break;
                }
                // After a start or a takeover, a dispatcher is known soon.
                let max_wait = self.state.borrow().pool.max_start_wait(&job);
                if tried.is_empty() && now.since(job.received) < max_wait {
                    sleep(DISPATCHER_RETRY_PAUSE).await;
                    continue;
                }
                break;
            };
            self.log_route(&job, &host);
            let mut submitted = self.submit_to(&host, &job);
            tried.push(host);
            last_outcome = match (&mut submitted.outcome).await {
                Ok(outcome) => outcome,
                Err(_) => Outcome::MayHaveRun("its dispatcher is gone"),
            };
            if !matches!(last_outcome, Outcome::NotRun { .. }) {
                break;
            }
            offers += usize::from(!last_outcome.is_evacuation());
        }
        (tried.pop(), last_outcome)
    }

    /// Returns whether a dispatcher outside of `tried` has reported capacity that no queue waits for.
    /// Without one, a job that was turned away in a shortage would be turned away again, at the expense
    /// of the dispatchers' processor time.
    fn has_room_beyond(&self, tried: &[Host]) -> bool {
        let state = self.state.borrow();
        let has_room =
            |load: Load| load.free_slots > 0 || (load.cores > 0.0 && load.queued_jobs == 0);
        let mut peers = state.peers.iter().filter(|(host, _)| !tried.contains(host));
        peers.any(|(_, peer)| has_room(peer.load))
            || (!tried.contains(&self.record.name)
                && has_room(state.pool.load(self.environment.clock().now())))
    }

    /// Logs the choice of a dispatcher with the load on which it was based.
    fn log_route(&self, job: &Request, host: &Host) {
        let state = self.state.borrow();
        let peer = state.peers.get(host);
        let load =
            peer.map_or_else(|| state.pool.load(self.environment.clock().now()), |peer| peer.load);
        let handed_cores = peer.map_or(0.0, |peer| peer.handed_cores);
        self.event_log.job_routed(&job.id, host, &load, handed_cores, state.peers.len());
    }

    /// Submits a job to this host's own pool or to a peer.
    fn submit_to(self: &Rc<Self>, host: &Host, job: &Request) -> SubmittedJob<E> {
        let (reply, outcome) = oneshot::channel();
        let now = self.now();
        let location = if *host == self.record.name {
            let mut state = self.state.borrow_mut();
            let key = state.pool.submit(job.clone(), now);
            state.replies.insert(key, Reply::Local(reply));
            Location::Local(key)
        } else {
            self.start_frequent_heartbeats(host);
            let mut state = self.state.borrow_mut();
            state.last_number += 1;
            let call = state.last_number;
            let submit = Submit::new(call, job, now);
            let sent = state.peers.get_mut(host).is_some_and(|peer| {
                peer.handed_cores += peak_cores(&job.steps);
                peer.outbox.send(Frame::Submit(submit)).is_ok()
            });
            if sent {
                state
                    .remote_jobs
                    .insert(call, RemoteJob { id: job.id.clone(), host: host.clone(), reply });
            } else {
                let why = "the dispatcher can't be reached";
                // Cannot fail: the receiver is kept in the returned value.
                let _ = reply.send(Outcome::NotRun { retry_after: TAKEOVER_RETRY_AFTER, why });
            }
            Location::Remote(host.clone(), call)
        };
        self.run_effects();
        SubmittedJob { entry: self.clone(), location, outcome }
    }
}
