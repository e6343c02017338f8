//! Execution of the effects that the dispatcher's state machine requests.

use super::boot_clock::Clock;
use super::frame::{Frame, OutcomeWire};
use super::metrics;
use super::node::{EntryHost, Environment};
use super::state::{Peer, Reply};
use heathertrack::clock::Time;
use heathertrack::pool::job::Outcome;
use heathertrack::pool::{
    Decision, Effect, JobKey, Loss, PollFailure, Pool, StartAnswer, UpstreamKey,
};
use heathertrack_platform::{CallError, Poll, StartOrder, UpstreamClient};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Pause before a failed stop order or poll is reported to the pool, which repeats it.
/// Without the pause, a connection that fails at once would be retried in a tight loop.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

impl<E: Environment> EntryHost<E> {
    /// Applies a change to the pool and executes the effects that it requests.
    pub(super) fn with_pool<T>(self: &Rc<Self>, change: impl FnOnce(&mut Pool, Time) -> T) -> T {
        let now = self.now();
        let result = change(&mut self.state.borrow_mut().pool, now);
        self.run_effects();
        result
    }

    /// Executes all pending effects of the pool.
    pub(super) fn run_effects(self: &Rc<Self>) {
        let effects = self.state.borrow_mut().pool.take_effects();
        // First, as a caller may submit its job to another dispatcher as soon as it is answered.
        self.report_losses(&effects);
        for effect in effects {
            match effect {
                Effect::ReportLoss(_) => {}
                Effect::Start { upstream, run, task, number, spec, lease_end_ms } => {
                    let order = StartOrder { task, number, spec, lease_end_ms };
                    self.start_run(upstream, run, order);
                }
                Effect::Stop { upstream, run, task, number } => {
                    let Some((name, address)) = self.upstream_address(upstream) else { continue };
                    let entry = self.clone();
                    let sent = self.environment.clock().now();
                    spawn_local(async move {
                        let upstreams = entry.environment.upstream_client();
                        let answer = upstreams.stop(&address, &name, &task, number).await;
                        entry.handle_stop_answer(upstream, run, sent, answer).await;
                    });
                }
                Effect::Poll { upstream, lease_end_ms, acknowledged, wait } => {
                    self.poll(upstream, Poll { lease_end_ms, acknowledged, wait });
                }
                Effect::Finish { job, id, outcome, in_time } => {
                    let is_in_time = outcome == Outcome::Completed && in_time;
                    self.event_log.end_job(&id, !is_in_time);
                    self.deliver_outcome(job, outcome);
                }
                Effect::Log(decision) => {
                    if let Decision::Refused { why, .. } | Decision::GivenUp { why, .. } = &decision
                    {
                        metrics::job_dropped(why);
                    }
                    self.event_log.decision(&decision);
                }
            }
        }
    }

    /// Tells the hosts that dispatch, and those of this data centre, which may take over from this
    /// one, of runs that were lost with their upstreams.
    fn report_losses(&self, effects: &[Effect]) {
        let loss = |effect: &Effect| match effect {
            Effect::ReportLoss(loss) => Some(loss.clone()),
            _ => None,
        };
        let losses: Vec<Loss> = effects.iter().filter_map(loss).collect();
        if losses.is_empty() {
            return;
        }
        let state = self.state.borrow();
        let takes_them = |peer: &&Peer| {
            let is_near = peer.record.data_centre == self.record.data_centre;
            peer.takes_losses && (peer.is_dispatcher() || is_near)
        };
        for peer in state.peers.values().filter(takes_them) {
            for frame in Frame::report_losses(&losses, peer.takes_doubtful_losses) {
                if peer.outbox.send(frame).is_err() {
                    self.event_log.link_full(&peer.record.name);
                }
            }
        }
    }

    fn upstream_address(
        &self,
        upstream: UpstreamKey,
    ) -> Option<(heathertrack::name::Upstream, String)> {
        self.state.borrow().pool.upstream_address(upstream)
    }

    /// Sends a start order to an upstream, and reports the answer to the pool.
    fn start_run(
        self: &Rc<Self>,
        upstream: UpstreamKey,
        run: heathertrack::pool::RunKey,
        order: StartOrder,
    ) {
        let Some((name, address)) = self.upstream_address(upstream) else { return };
        let entry = self.clone();
        spawn_local(async move {
            let (answer, clock_ms) =
                entry.environment.upstream_client().start(&address, &name, &order).await;
            metrics::start_answered(answer);
            if answer != StartAnswer::Running {
                entry.event_log.start_refused(&order, &name, answer);
            }
            entry.with_pool(|pool, now| pool.on_start_answer(run, answer, clock_ms, now));
        });
    }

    /// Reports the answer to a stop order to the pool. The answer is the upstream's clock in
    /// milliseconds, if the response has it.
    async fn handle_stop_answer(
        self: &Rc<Self>,
        upstream: UpstreamKey,
        run: heathertrack::pool::RunKey,
        sent: Time,
        answer: Result<Option<u64>, CallError>,
    ) {
        match answer {
            Ok(clock_ms) => {
                self.with_pool(|pool, now| pool.on_stop_answer(run, true, clock_ms, now));
            }
            Err(error) => {
                if matches!(error, CallError::Replaced(_)) {
                    self.with_pool(|pool, now| pool.on_process_replaced(upstream, sent, now));
                }
                sleep(RETRY_PAUSE).await;
                // Not confirmed, so the pool repeats the order if the run isn't lost.
                self.with_pool(|pool, now| pool.on_stop_answer(run, false, None, now));
            }
        }
    }

    /// Sends a poll to an upstream, and reports the answer to the pool.
    fn poll(self: &Rc<Self>, upstream: UpstreamKey, request: Poll) {
        let Some((name, address)) = self.upstream_address(upstream) else { return };
        let entry = self.clone();
        let sent_at = self.environment.clock().now();
        spawn_local(async move {
            match entry.environment.upstream_client().poll(&address, &name, &request).await {
                Ok(listing) => {
                    metrics::upstream_polled(true);
                    entry.with_pool(|pool, now| {
                        pool.on_poll_answer(upstream, &listing, sent_at, now);
                    });
                }
                Err(error) => {
                    metrics::upstream_polled(false);
                    entry.event_log.poll_failed(&name, &error);
                    if matches!(error, CallError::Replaced(_)) {
                        entry.with_pool(|pool, now| {
                            pool.on_process_replaced(upstream, sent_at, now);
                        });
                    }
                    let failure = match error {
                        CallError::Refused(_) => PollFailure::Refused,
                        _ => PollFailure::NoAnswer,
                    };
                    sleep(RETRY_PAUSE).await;
                    entry.with_pool(|pool, now| pool.on_poll_failed(upstream, failure, now));
                }
            }
        });
    }

    /// Sends the outcome of a job to the caller or peer that submitted it.
    fn deliver_outcome(&self, job: JobKey, outcome: Outcome) {
        let mut state = self.state.borrow_mut();
        match state.replies.remove(&job) {
            Some(Reply::Local(reply)) => {
                // The caller may have disconnected; then the outcome is discarded.
                let _ = reply.send(outcome);
            }
            Some(Reply::Peer(host, call)) => {
                if let Some(peer) = state.peers.get_mut(&host) {
                    peer.jobs.remove(&call);
                    let mut how = OutcomeWire::from(&outcome);
                    if !peer.takes_cancellations {
                        how = how.without_cancelled();
                    }
                    if peer.outbox.send(Frame::Ended { call, how }).is_err() {
                        self.event_log.link_full(&host);
                    }
                }
            }
            // The caller or peer has cancelled the job.
            None => {}
        }
    }
}
