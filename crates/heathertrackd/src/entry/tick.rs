//! What time alone brings about.

use super::node::{Entry, Environment};
use heathertrack::clock::Time;
use heathertrack::pool::Pool;
use heathertrack::pool::job::Outcome;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Gap between two events after which the process counts as suspended: the leases that it prolonged
/// are about to lapse. Ticks are far closer.
pub const SUSPENDED: Duration = Duration::from_millis(600);
/// Period of ticks while there is work: a fraction of the shortest objective.
const BUSY: Duration = Duration::from_millis(25);
/// Period of ticks without work.
const IDLE: Duration = Duration::from_millis(200);
/// Time for which a planned stop goes on taking callers: the balancer's two misses and a margin.
const LINGER: Duration = Duration::from_millis(2_500);
/// Time for the last answers to leave.
const FLUSH: Duration = Duration::from_millis(50);
/// What is left of the grace period when the process ends at the latest.
const MARGIN: Duration = Duration::from_millis(500);

/// Starts the ticks.
pub fn spawn<E: Environment>(entry: &Rc<Entry<E>>) {
    tokio::task::spawn_local(run(entry.clone()));
}

async fn run<E: Environment>(entry: Rc<Entry<E>>) {
    let mut next = Instant::now();
    loop {
        sleep_until(next).await;
        entry.note_rivals();
        entry.with_pool(Pool::tick);
        entry.update_owners();
        let idle = entry.state.borrow().pool.is_idle();
        next = Instant::now() + if idle { IDLE } else { BUSY };
    }
}

impl<E: Environment> Entry<E> {
    /// Stops as planned: takes no new upstreams and jobs, and returns when the last is answered or
    /// the grace period is over.
    pub async fn stop(self: &Rc<Self>) {
        let began = Instant::now();
        let grace = self.deployment.grace.saturating_sub(MARGIN);
        let stops_by = self.now() + grace;
        self.state.borrow_mut().stops_by = Some(stops_by);
        self.state.borrow_mut().leaving = true;
        self.state.borrow_mut().owners_stale = true;
        self.journal.stopping();
        self.update_owners();
        self.tell_peers();
        let latest = began + grace;
        loop {
            sleep_until(Instant::now() + BUSY).await;
            let now = Instant::now();
            let idle = {
                let state = self.state.borrow();
                state.callers == 0 && state.pool.is_idle() && state.calls.is_empty()
            };
            if now >= latest || (idle && now >= began + LINGER) {
                break;
            }
        }
        self.give_up_all();
        // Answers leave while the record is withdrawn.
        self.withdraw().await;
        sleep_until(Instant::now() + FLUSH).await;
        self.journal.stopped(began.elapsed());
    }

    /// Answers all callers that still wait, as the process ends.
    fn give_up_all(self: &Rc<Self>) {
        self.answer_handed("this host stops");
        self.with_pool(|pool, now| pool.give_up_all("this host stops", now));
    }

    /// Drops everything that others have dropped while this process was suspended.
    pub(super) fn resume(self: &Rc<Self>, gap: Duration, now: Time) {
        self.journal.resumed(gap);
        {
            let mut state = self.state.borrow_mut();
            state.pool.resumed(now);
            state.peers.clear();
            state.owners_stale = true;
        }
        self.answer_handed("this host was suspended");
        self.carry_out();
    }

    /// Answers the callers whose jobs other dispatchers have.
    fn answer_handed(&self, why: &'static str) {
        let calls = std::mem::take(&mut self.state.borrow_mut().calls);
        for handed in calls.into_values() {
            // The caller may be gone; then nobody is to be told.
            let _ = handed.reply.send(Outcome::MayHaveRun(why));
        }
    }
}
