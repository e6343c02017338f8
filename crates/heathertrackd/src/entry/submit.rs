//! Submission of a job to a dispatcher, local or remote, and the wait for its outcome.

use super::boot_clock::Clock;
use super::frame::{Frame, Submit};
use super::node::{Entry, Environment};
use super::routing::cores;
use super::state::{Handed, Reply};
use heathertrack::name::Host;
use heathertrack::pool::JobKey;
use heathertrack::pool::job::{Outcome, Request};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// Maximum number of dispatchers that a job is offered to, one after another, as long as none has
/// started any of its tasks.
const OFFERS: usize = 2;
/// Share of the objective after which a job that no dispatcher had capacity for is not offered
/// again.
const OFFER_SHARE: f64 = 0.2;
/// Pause between attempts to find a dispatcher while none is known: a fraction of the shortest wait
/// that a job tolerates.
const DISPATCHER_LOOK: Duration = Duration::from_millis(10);
/// Retry-after time sent to a caller when no dispatcher is known: about the duration of a takeover.
const TAKEOVER: Duration = Duration::from_secs(2);

/// A job submitted to a dispatcher. Dropping it cancels the job.
struct Offer<E: Environment> {
    entry: Rc<Entry<E>>,
    place: Place,
    outcome: oneshot::Receiver<Outcome>,
}

enum Place {
    Here(JobKey),
    Peer(Host, u64),
}

impl<E: Environment> Drop for Offer<E> {
    fn drop(&mut self) {
        match &self.place {
            Place::Here(job) => {
                let known = self.entry.state.borrow_mut().replies.remove(job).is_some();
                if known {
                    self.entry.with_pool(|pool, now| pool.cancel(*job, now));
                }
            }
            Place::Peer(host, call) => {
                let mut state = self.entry.state.borrow_mut();
                if state.calls.remove(call).is_none() {
                    return;
                }
                let Some(peer) = state.peers.get(host) else { return };
                if peer.frames.try_send(Frame::Cancel { call: *call }).is_err() {
                    self.entry.journal.link_full(host);
                }
            }
        }
    }
}

impl<E: Environment> Entry<E> {
    /// Runs a job. Returns the dispatcher that was tried last, and the outcome.
    pub async fn run_job(self: &Rc<Self>, job: Request) -> (Option<Host>, Outcome) {
        let mut tried: Vec<Host> = Vec::new();
        let mut last = Outcome::NotRun { retry_after: TAKEOVER, why: "no dispatcher is known" };
        while tried.len() < OFFERS {
            let now = self.now();
            let late = now.since(job.received) > job.objective.mul_f64(OFFER_SHARE);
            if late && !tried.is_empty() {
                break;
            }
            let Some(host) = self.dispatcher(&job.steps, &tried, now) else {
                // After a start or a takeover, a dispatcher is known soon.
                let patience = self.state.borrow().pool.patience(&job);
                if tried.is_empty() && now.since(job.received) < patience {
                    sleep(DISPATCHER_LOOK).await;
                    continue;
                }
                break;
            };
            self.note_route(&job, &host);
            let mut offer = self.offer(&host, &job);
            tried.push(host);
            last = match (&mut offer.outcome).await {
                Ok(outcome) => outcome,
                Err(_) => Outcome::MayHaveRun("its dispatcher is gone"),
            };
            if !matches!(last, Outcome::NotRun { .. }) {
                break;
            }
        }
        (tried.pop(), last)
    }

    fn note_route(&self, job: &Request, host: &Host) {
        let state = self.state.borrow();
        let peer = state.peers.get(host);
        let load = peer.map_or_else(|| state.pool.load(self.environment.clock().now()), |p| p.load);
        let handed = peer.map_or(0.0, |peer| peer.handed_cores);
        self.journal.routed(&job.id, host, &load, handed, state.peers.len());
    }

    fn offer(self: &Rc<Self>, host: &Host, job: &Request) -> Offer<E> {
        let (reply, outcome) = oneshot::channel();
        let now = self.now();
        let place = if *host == self.record.name {
            let mut state = self.state.borrow_mut();
            let key = state.pool.submit(job.clone(), now);
            state.replies.insert(key, Reply::Here(reply));
            Place::Here(key)
        } else {
            self.promise_beats(host);
            let mut state = self.state.borrow_mut();
            state.next_call += 1;
            let call = state.next_call;
            let submit = Submit::new(call, job, now);
            let sent = state.peers.get_mut(host).is_some_and(|peer| {
                peer.handed_cores += cores(&job.steps);
                peer.frames.try_send(Frame::Submit(submit)).is_ok()
            });
            if sent {
                state.calls.insert(call, Handed { host: host.clone(), reply });
            } else {
                let why = "the dispatcher can't be reached";
                // Cannot fail: the receiver is kept in the returned value.
                let _ = reply.send(Outcome::NotRun { retry_after: TAKEOVER, why });
            }
            Place::Peer(host.clone(), call)
        };
        self.carry_out();
        Offer { entry: self.clone(), place, outcome }
    }
}
