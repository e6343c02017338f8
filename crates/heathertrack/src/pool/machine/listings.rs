use super::Pool;
use crate::clock::Time;
use crate::pool::run::{Run, RunState};
use crate::pool::upstream::{Ownership, SLOW_CLOCK_FACTOR, Upstream};
use crate::pool::{
    Decision, Effect, EndedRun, Listing, PollFailure, Renewal, RunEnd, RunKey, Task, UpstreamKey,
};
use std::time::Duration;

/// Time for which the end of an unknown run, one that this dispatcher doesn't follow, is left
/// unacknowledged, so that the dispatcher that started the run can see it.
const UNKNOWN_END_GRACE: Duration = Duration::from_secs(1);
/// Pause between polls of an upstream with runs while ends of unknown runs are listed. Without it
/// polls would follow each other at once, as the upstream answers immediately while an end is
/// unacknowledged.
const UNKNOWN_END_PAUSE: Duration = Duration::from_millis(40);
/// Pause between polls of an upstream that is being acquired.
const ACQUIRING_PAUSE: Duration = Duration::from_millis(120);
/// Maximum multiple of [`crate::pool::Options::retry_backoff`] between polls.
const MAX_BACKOFF_STEPS: u32 = 10;

/// Maximum time from the receipt of a list to a renewal or a start that rests on it: polls of a busy
/// upstream follow each other within 300 ms (`Options::poll_wait`). Where a lost host may have left
/// runs that no list has shown, they then expire within 400 + 714 ms of its loss, before a caller
/// sends its job again (1,300 ms).
pub(super) const MAX_LIST_AGE: Duration = Duration::from_millis(400);

/// Returns the time without renewals after which a run that is still listed is kept alive by another
/// dispatcher.
pub(super) fn max_acquisition_time(lease: Duration) -> Duration {
    lease.mul_f64(SLOW_CLOCK_FACTOR) + ACQUIRING_PAUSE
}

impl Pool {
    /// Handles an upstream's list of runs, the answer to a poll that was sent at `sent`.
    pub fn on_poll_answer(&mut self, key: UpstreamKey, listing: &Listing, sent: Time, now: Time) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.polls_in_flight = upstream.polls_in_flight.saturating_sub(1);
        if upstream.is_of_former_process(listing, sent) {
            self.poll(key, now);
            return;
        }
        if upstream.unresponsive_since.take().is_some() {
            self.log_upstream_state(key, "responds again", now);
        }
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let may_have_lost_runs = match upstream.lost_runs_at.take() {
            // An answer from before the loss proves nothing.
            Some(at) => at <= sent,
            None => upstream.clock.is_none(),
        };
        upstream.record_clock(listing.clock_ms, now);
        if upstream.record_process(listing.started_ms, sent, now) {
            upstream.acknowledged = 0;
            upstream.unacknowledged_ends.clear();
            for run in &upstream.runs {
                if let Some(run) = self.runs.get_mut(*run) {
                    run.early_failure = None;
                }
            }
            self.log_upstream_state(key, "process restarted", now);
        } else {
            upstream.stopped_at = None;
            if may_have_lost_runs {
                self.take_back_loss(key, listing.started_ms, now);
            }
        }
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.listed_at = Some(now);
        self.handle_ends(key, &listing.ended, now);
        let seen = self.handle_running(key, listing, now);
        self.end_absent_runs(key, &seen, sent, now);
        self.settle_ownership(key, now);
        self.schedule_poll(key, now);
        self.place(now);
    }

    /// Handles the listed ends, and determines up to which one the next poll acknowledges them.
    fn handle_ends(&mut self, key: UpstreamKey, ends: &[EndedRun], now: Time) {
        let acknowledged = self.upstreams.get(key).map_or(0, |upstream| upstream.acknowledged);
        // The answer to a poll that was sent before the last acknowledgement repeats those ends.
        for end in ends.iter().filter(|end| end.sequence > acknowledged) {
            let run = end
                .task
                .as_ref()
                .and_then(|task| self.runs_by_task.get(&(task.clone(), end.number)));
            let run = run.copied().filter(|run| self.is_run_on(*run, key));
            if let Some(run) = run.filter(|run| !self.awaits_answer(*run, end)) {
                self.end_run(run, end.how, now);
                if let Some(upstream) = self.upstreams.get_mut(key) {
                    upstream.unacknowledged_ends.insert(end.sequence, Time::ZERO);
                }
            } else if let Some(upstream) = self.upstreams.get_mut(key) {
                upstream.unacknowledged_ends.entry(end.sequence).or_insert(now);
            }
        }
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        // Stops before the first end that another dispatcher may not have seen yet.
        while let Some(first) = upstream.unacknowledged_ends.first_entry() {
            if now.since(*first.get()) < UNKNOWN_END_GRACE && *first.get() != Time::ZERO {
                break;
            }
            upstream.acknowledged = upstream.acknowledged.max(*first.key());
            first.remove();
        }
        upstream.has_ends_to_acknowledge = !ends.is_empty();
    }

    /// Returns whether the answer to the order of a run has to show whether it is the one that failed, and
    /// notes the end until then. An order of an ended number is refused, so the run has begun otherwise.
    /// Ends of other kinds are the same for its task, whoever started the run.
    fn awaits_answer(&mut self, run: RunKey, end: &EndedRun) -> bool {
        let is_unanswered = |run: &&mut Run| run.state == RunState::Starting;
        let run = self.runs.get_mut(run).filter(is_unanswered);
        let Some(run) = run.filter(|_| end.how == RunEnd::Failed) else { return false };
        run.early_failure = Some(end.sequence);
        true
    }

    fn is_run_on(&self, run: RunKey, upstream: UpstreamKey) -> bool {
        self.runs.get(run).is_some_and(|run| run.upstream == upstream)
    }

    /// Handles the runs that are listed as running, and returns those of them that this dispatcher
    /// started.
    fn handle_running(&mut self, key: UpstreamKey, listing: &Listing, now: Time) -> Vec<RunKey> {
        let shared_until = now + self.max_sharing_time();
        let mut seen = Vec::new();
        let mut foreign = Vec::new();
        for listed in &listing.running {
            let run = self.runs_by_task.get(&(listed.task.clone(), listed.number)).copied();
            let Some(run_key) = run.filter(|run| self.is_run_on(*run, key)) else {
                foreign.push((listed.task.clone(), listed.number));
                continue;
            };
            seen.push(run_key);
            let Some(run) = self.runs.get_mut(run_key) else { continue };
            run.seen_at = Some(now);
            run.is_absent = false;
            run.process_started_ms = Some(listing.started_ms);
            if run.state == RunState::Starting {
                run.state = RunState::Running;
                run.absence_proves_end_at = Some(now);
            }
            run.shared_until = run.shared_until.min(shared_until);
            if run.percent != listed.percent {
                run.percent = listed.percent;
                run.progressed_at = now;
            }
        }
        // Lists on different connections may overtake each other. An older one shows runs that have
        // ended since.
        if let Some(upstream) = self.upstreams.get_mut(key)
            && upstream.is_newest_list(listing)
        {
            self.rosters.retain_listed(&upstream.record.name, &foreign, now);
            upstream.foreign.inherited.retain(|run| foreign.contains(run));
            if now < upstream.foreign.inherits_until {
                upstream.foreign.inherited.extend(foreign.iter().cloned());
            }
            upstream.foreign.runs = foreign;
        }
        self.find_strays(key);
        seen
    }

    /// Notes whether an upstream lists strays. A host that is unknown here may renew the leases of
    /// this dispatcher's runs beside them.
    pub(super) fn find_strays(&mut self, key: UpstreamKey) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let (name, foreign) = (&upstream.record.name, &upstream.foreign);
        // A host that has released the upstream isn't told of changes of the rosters that it was given.
        let is_owner = upstream.ownership != Ownership::Released;
        let is_followed = |run: &(Task, u32)| {
            foreign.inherited.contains(run) || (is_owner && self.rosters.contains(name, run))
        };
        upstream.foreign.has_strays =
            self.options.withhold_from_strays && !foreign.runs.iter().all(is_followed);
        if upstream.foreign.has_strays {
            for run in &upstream.runs {
                if let Some(run) = self.runs.get_mut(*run) {
                    run.competitor_may_renew = true;
                }
            }
        }
    }

    /// Returns the time from a run's begin until no host can have renewed its lease any more because
    /// of a list that was older than the run.
    pub(super) fn max_sharing_time(&self) -> Duration {
        MAX_LIST_AGE + self.options.lease.mul_f64(SLOW_CLOCK_FACTOR)
    }

    /// Ends runs that are absent from the list, if their absence from the answer to a poll sent at
    /// `sent` proves that they are over.
    fn end_absent_runs(&mut self, key: UpstreamKey, seen: &[RunKey], sent: Time, now: Time) {
        let Some(upstream) = self.upstreams.get(key) else { return };
        let is_over = |run: &RunKey| {
            !seen.contains(run)
                && self
                    .runs
                    .get(*run)
                    .and_then(|run| run.absence_proves_end_at)
                    .is_some_and(|at| at <= sent)
        };
        let started_ms = upstream.started_ms;
        let of_same_process = |run: &RunKey| {
            self.runs.get(*run).is_some_and(|run| run.process_started_ms == started_ms)
        };
        let over = upstream.runs.iter().copied().filter(is_over);
        let (absent, lost): (Vec<RunKey>, Vec<RunKey>) = over.partition(of_same_process);
        self.lose_runs(key, lost, upstream.replacement_cause(now), RunEnd::Disappeared, now);
        for run in absent {
            if !self.awaits_foreign_stop(run, now) {
                self.end_run(run, RunEnd::Disappeared, now);
            }
        }
    }

    /// Returns whether a run that has just become absent from the lists may still be at work: another
    /// host, which has started an earlier submission of its job, may have ordered its stop, and a run that
    /// is being stopped is in no list. A list from after the time of a stop then shows its end.
    fn awaits_foreign_stop(&mut self, key: RunKey, now: Time) -> bool {
        let Some(run) = self.runs.get_mut(key) else { return false };
        if run.state == RunState::Stopping || run.is_absent {
            return false;
        }
        run.is_absent = true;
        run.absence_proves_end_at = Some(now + self.options.max_stop_time);
        run.poll_for_end = true;
        true
    }

    /// Completes the acquisition of an upstream once a list has no strays, and begins it again when
    /// one has some. Strays that outlive a lease which this dispatcher did not renew belong to a live
    /// host without a link. They still bar the upstream: if that host dies, renewals would keep them
    /// alive beyond the next submission of their job.
    fn settle_ownership(&mut self, key: UpstreamKey, now: Time) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        match (upstream.ownership, upstream.foreign.has_strays) {
            (Ownership::Acquiring, false) => {
                upstream.ownership = Ownership::Owned;
                upstream.foreign.listed_since = None;
            }
            (Ownership::Acquiring, true) => {
                upstream.foreign.listed_since.get_or_insert(now);
            }
            (Ownership::Owned, true) => {
                self.withhold_renewals(key, now);
            }
            (Ownership::Owned, false) | (Ownership::Released, _) => {}
        }
    }

    /// Ends renewals and starts on an owned upstream if it has strays. Returns whether it has.
    pub(super) fn withhold_renewals(&mut self, key: UpstreamKey, now: Time) -> bool {
        let Some(upstream) = self.upstreams.get_mut(key) else { return false };
        let withholds = upstream.ownership == Ownership::Owned && upstream.foreign.has_strays;
        if withholds {
            upstream.ownership = Ownership::Acquiring;
            upstream.foreign.listed_since = Some(now);
            self.log_upstream_state(key, "lists runs that no live host follows", now);
        }
        withholds
    }

    /// Returns whether an upstream that is assigned to this dispatcher is in use by a live host
    /// without a link.
    pub(super) fn is_contested(&self, upstream: &Upstream, now: Time) -> bool {
        let outlive_lease =
            |since: Time| now.since(since) > max_acquisition_time(self.options.lease);
        upstream.ownership == Ownership::Acquiring
            && upstream.foreign.listed_since.is_some_and(outlive_lease)
            && !upstream.record.draining
            && upstream.unresponsive_since.is_none()
            && upstream.missing_since.is_none()
    }

    /// Returns whether a start on an upstream has to wait for a newer list, as a host that was lost
    /// or has no link may have runs there that the last one did not show. Requests that list.
    pub(super) fn awaits_list(&mut self, key: UpstreamKey, now: Time) -> bool {
        let is_recent = |at: Time| now.since(at) <= MAX_LIST_AGE;
        let listed_at = self.upstreams.get(key).and_then(|upstream| upstream.listed_at);
        let is_in_doubt = self.has_competitors || now < self.doubt_until;
        if !is_in_doubt || listed_at.is_some_and(is_recent) {
            return false;
        }
        self.poll_soon(key, now);
        true
    }

    /// Handles a poll without an answer. A refused connection is treated like a timeout: a network
    /// partition can refuse connections too, while runs behind it live until their lease expires.
    pub fn on_poll_failed(&mut self, key: UpstreamKey, failure: PollFailure, now: Time) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.refuses_connections = failure == PollFailure::Refused;
        upstream.polls_in_flight = upstream.polls_in_flight.saturating_sub(1);
        upstream.failed_polls += 1;
        self.mark_unresponsive(key, now);
        let failed_polls = self.upstreams.get(key).map_or(0, |upstream| upstream.failed_polls);
        let pause = if failed_polls <= 1 { Duration::ZERO } else { self.options.retry_backoff };
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.poll_due = now + pause * failed_polls.min(MAX_BACKOFF_STEPS);
        }
        self.poll(key, now);
        self.place(now);
    }

    /// Handles an answer by another process to an order or a poll that was sent at `sent`: the
    /// upstream's process is gone, and all its runs with it. That isn't proven if the process has
    /// answered after `sent` for the first time, or never at this address.
    pub fn on_process_replaced(&mut self, key: UpstreamKey, sent: Time, now: Time) {
        let Some(upstream) = self.upstreams.get(key) else { return };
        let known_since = upstream.known_since;
        if known_since.is_some_and(|since| sent < since) {
            return;
        }
        self.mark_unresponsive(key, now);
        if known_since.is_none() {
            return;
        }
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let (runs, cause) = (upstream.runs.clone(), upstream.replacement_cause(now));
        upstream.clock = None;
        upstream.lease_expiry = now;
        self.lose_runs(key, runs, cause, RunEnd::Disappeared, now);
    }

    /// Marks an upstream as unresponsive after an order or a poll got no answer, and shortens the
    /// polls of all upstreams for a while.
    pub(super) fn mark_unresponsive(&mut self, key: UpstreamKey, now: Time) {
        self.short_polls_until = now + self.options.short_poll_span;
        self.poll_idle_neighbours(key, now);
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.silent_at = now;
        if upstream.unresponsive_since.is_none() {
            upstream.unresponsive_since = Some(now);
            upstream.stopped_at = Some(now);
            let runs = upstream.runs.iter().filter_map(|run| self.runs.get(*run));
            upstream.stopped_jobs = runs.map(|run| run.task.job.clone()).collect();
            upstream.poll_due = now;
            upstream.has_ends_to_acknowledge = false;
            self.log_upstream_state(key, "does not respond", now);
        }
    }

    /// Logs a change in the assumed state of an upstream.
    pub(super) fn log_upstream_state(&mut self, key: UpstreamKey, state: &'static str, now: Time) {
        let Some(upstream) = self.upstreams.get(key) else { return };
        let age = now.since(upstream.last_answer);
        let upstream = upstream.record.name.clone();
        self.effects.push(Effect::Log(Decision::Upstream { upstream, state, age }));
    }

    /// Returns whether this dispatcher follows runs on an upstream, or has to renew the leases of those
    /// on rosters as its owner.
    fn is_busy(&self, upstream: &Upstream) -> bool {
        !upstream.runs.is_empty()
            || (upstream.ownership != Ownership::Released
                && self.rosters.has_any(&upstream.record.name))
    }

    /// Schedules the next poll of an upstream after an answer, and sends it if it is due at once.
    fn schedule_poll(&mut self, key: UpstreamKey, now: Time) {
        let idle = self.options.idle_poll_interval;
        let is_busy = self.upstreams.get(key).is_some_and(|upstream| self.is_busy(upstream));
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.poll_due = if upstream.ownership == Ownership::Acquiring {
            now + ACQUIRING_PAUSE
        } else if is_busy && !upstream.unacknowledged_ends.is_empty() {
            now + UNKNOWN_END_PAUSE
        } else if is_busy {
            now
        } else if upstream.has_ends_to_acknowledge {
            now + UNKNOWN_END_GRACE
        } else {
            now + idle
        };
        self.poll(key, now);
    }

    /// Polls an upstream, or makes it due as soon as the poll in flight is answered. Called after a
    /// run or a new process was started there.
    pub(super) fn poll_soon(&mut self, key: UpstreamKey, now: Time) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.poll_due = now;
        }
        self.poll(key, now);
    }

    /// Polls an upstream if it is due and no poll is in flight.
    pub(super) fn poll(&mut self, key: UpstreamKey, now: Time) {
        let is_short = now < self.short_polls_until;
        let wait = if is_short { self.options.short_poll_wait } else { self.options.poll_wait };
        let Some(upstream) = self.upstreams.get(key) else { return };
        if upstream.polls_in_flight > 0 || now < upstream.poll_due {
            return;
        }
        self.send_poll(key, wait, now);
    }

    /// Polls an upstream without a wait, also while one other poll is in flight: that poll may wait
    /// for a run to end, and a run that never began has no end that would complete it.
    pub(super) fn poll_at_once(&mut self, key: UpstreamKey, now: Time) {
        let in_flight = self.upstreams.get(key).map_or(0, |upstream| upstream.polls_in_flight);
        if in_flight <= 1 {
            self.send_poll(key, Duration::ZERO, now);
        }
    }

    /// Logs what renewals of an upstream rest on if that has changed and other dispatchers matter to it.
    fn note_renewal(&mut self, key: UpstreamKey) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let name = &upstream.record.name;
        let renewal = if upstream.foreign.has_strays {
            Renewal::Strays
        } else if upstream.expiring_runs > 0 {
            Renewal::Expiring
        } else {
            match upstream.ownership {
                Ownership::Acquiring => Renewal::Acquiring,
                Ownership::Released => Renewal::AfterRelease,
                Ownership::Owned if self.rosters.has_any(name) => Renewal::Rosters,
                Ownership::Owned => Renewal::OwnRuns,
            }
        };
        let before = std::mem::replace(&mut upstream.renewal, renewal);
        if before == renewal || !(before.is_shared() || renewal.is_shared()) {
            return;
        }
        let is_followed = |run: &&(Task, u32)| {
            upstream.foreign.inherited.contains(*run) || self.rosters.contains(name, run)
        };
        let strays = upstream.foreign.runs.iter().filter(|run| !is_followed(run));
        let decision = Decision::Renewal {
            upstream: name.clone(),
            basis: renewal,
            own: upstream.runs.len(),
            rosters: self.rosters.counts(name),
            strays: strays.cloned().collect(),
        };
        self.effects.push(Effect::Log(decision));
    }

    /// Sends a poll, unless the upstream is released and has no runs left.
    fn send_poll(&mut self, key: UpstreamKey, wait: Duration, now: Time) {
        let lease = self.options.lease;
        self.note_renewal(key);
        let Some(upstream) = self.upstreams.get(key) else { return };
        let released = upstream.ownership == Ownership::Released && upstream.runs.is_empty();
        if released {
            return;
        }
        // A run whose stops get no answer ends only when the lease of its upstream expires. No
        // lease is renewed after a failed poll either: if only the answers are lost, runs that go
        // on unseen have to end. Unless the network is partitioned, the next poll is answered, and
        // renewals resume, well before the lease expires. The same holds after an order to an upstream
        // that may have restarted.
        let renews_lease = self.is_busy(upstream)
            && upstream.ownership != Ownership::Acquiring
            && !upstream.foreign.has_strays
            && upstream.failed_polls == 0
            && !upstream.may_have_restarted(now)
            && upstream.expiring_runs == 0;
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let lease_end_ms = if renews_lease { upstream.renew_lease(lease, now) } else { None };
        upstream.polls_in_flight += 1;
        let acknowledged = upstream.acknowledgement();
        // The owner renews a released upstream while it has runs there.
        let is_renewed_by_owner = upstream.ownership == Ownership::Released
            && upstream.foreign.has_strays
            && upstream.failed_polls == 0;
        let wait = if renews_lease || is_renewed_by_owner { wait } else { Duration::ZERO };
        self.effects.push(Effect::Poll { upstream: key, lease_end_ms, acknowledged, wait });
    }
}
