//! Periodic work, suspension of the process, and the planned stop.

use super::intakes;
use super::node::{EntryHost, Environment};
use heathertrack::clock::Time;
use heathertrack::pool::Pool;
use heathertrack::pool::job::Outcome;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Gap between two events above which the process counts as having been suspended. The leases that
/// it renewed are then about to expire. Ticks are much closer together.
pub const MIN_SUSPENSION: Duration = Duration::from_millis(600);
/// Period of ticks while there is work: a fraction of the shortest objective.
const BUSY_PERIOD: Duration = Duration::from_millis(25);
/// Period of ticks without work.
const IDLE_PERIOD: Duration = Duration::from_millis(200);
/// Time for which a planned stop continues to accept callers: two failed health checks of the
/// balancer and a margin.
const ACCEPT_TIME: Duration = Duration::from_millis(2_500);
/// Time for the last answers to be sent.
const FLUSH_TIME: Duration = Duration::from_millis(50);
/// Reserve at the end of the grace period: callers still waiting are answered this long before it.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Starts the periodic work.
pub fn spawn<E: Environment>(entry: &Rc<EntryHost<E>>) {
    tokio::task::spawn_local(run(entry.clone()));
}

async fn run<E: Environment>(entry: Rc<EntryHost<E>>) {
    let mut next = Instant::now();
    let mut next_intake_check = next;
    loop {
        sleep_until(next).await;
        entry.update_competitors();
        entry.with_pool(Pool::tick);
        entry.update_owners();
        if next >= next_intake_check {
            entry.check_intakes();
            next_intake_check = next + intakes::CHECK_PERIOD;
        }
        let is_idle = {
            let state = entry.state.borrow();
            // Upstreams are assigned as soon as the grace period after a start is over.
            state.pool.is_idle() && !state.owners_stale
        };
        next = Instant::now() + if is_idle { IDLE_PERIOD } else { BUSY_PERIOD };
    }
}

impl<E: Environment> EntryHost<E> {
    /// Performs a planned stop: announces it to peers, so that upstreams and new jobs go to other
    /// hosts. Returns when all jobs are answered, but not before `ACCEPT_TIME` has passed, or when
    /// the grace period is over.
    pub async fn stop(self: &Rc<Self>) {
        let began = Instant::now();
        let grace = self.settings.grace.saturating_sub(STOP_MARGIN);
        let stops_by = self.now() + grace;
        self.state.borrow_mut().stops_by = Some(stops_by);
        self.state.borrow_mut().leaving = true;
        self.state.borrow_mut().owners_stale = true;
        self.event_log.stopping();
        self.update_owners();
        self.send_heartbeat_to_all();
        let deadline = began + grace;
        loop {
            sleep_until(Instant::now() + BUSY_PERIOD).await;
            let now = Instant::now();
            let idle = {
                let state = self.state.borrow();
                state.waiting_callers == 0 && state.pool.is_idle() && state.remote_jobs.is_empty()
            };
            if now >= deadline || (idle && now >= began + ACCEPT_TIME) {
                break;
            }
        }
        self.give_up_all();
        // Pending answers are sent while the record is withdrawn.
        self.withdraw_record().await;
        sleep_until(Instant::now() + FLUSH_TIME).await;
        self.event_log.stopped(began.elapsed());
    }

    /// Answers all waiting callers, as the process is about to end.
    fn give_up_all(self: &Rc<Self>) {
        self.fail_remote_jobs("this host stops");
        self.with_pool(|pool, now| pool.give_up_all("this host stops", now));
    }

    /// Handles a suspension of the process: discards the links and handed-over jobs that other
    /// hosts have given up meanwhile, and informs the pool.
    pub(super) fn handle_suspension(self: &Rc<Self>, gap: Duration, now: Time) {
        self.event_log.resumed(gap);
        {
            let mut state = self.state.borrow_mut();
            state.pool.on_resume(now);
            state.confirmation.on_resume();
            state.peers.clear();
            state.roster_holders.clear();
            state.owners_stale = true;
        }
        self.fail_remote_jobs("this host was suspended");
        self.run_effects();
    }

    /// Answers the callers of jobs that were handed to other dispatchers. The jobs may have run.
    fn fail_remote_jobs(&self, why: &'static str) {
        let remote_jobs = std::mem::take(&mut self.state.borrow_mut().remote_jobs);
        for job in remote_jobs.into_values() {
            // The caller may have disconnected; then the outcome is discarded.
            let _ = job.reply.send(Outcome::MayHaveRun(why));
        }
    }
}
