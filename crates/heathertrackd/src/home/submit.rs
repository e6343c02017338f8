//! Submissions, questions and cancellations at the home of their key.

use super::Handle;
use crate::job;
use crate::state::{Phase, State};
use heathertrack::claim::Age;
use heathertrack::clock::Time;
use heathertrack::name::Customer;
use heathertrack::record::{Cancelled, Digest, Entry};
use heathertrack::run::Run;
use heathertrack_wire::caller::{Job, Key, Kind, Outcome, Problem};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

type RecordKey = heathertrack::record::Key;

/// How long a resubmission may wait beyond the deadline of the job that it joins.
const JOIN_SPARE: Duration = Duration::from_millis(500);

fn problem(kind: Kind, run: Run, detail: impl Into<String>) -> Arc<Outcome> {
    Arc::new(Outcome::Problem(Problem::new(kind, run, detail)))
}

/// A key for a job that came without one; nobody can resubmit it.
fn fresh_key() -> String {
    Uuid::now_v7().to_string()
}

/// Starts a job under its key, or joins it, or gives its stored answer.
pub async fn submit(
    state: &Arc<State>,
    customer: &Customer,
    key: Option<&Key>,
    body: &str,
) -> Arc<Outcome> {
    let job = match Job::read(body) {
        Ok(job) => job,
        Err(findings) => {
            let bad = Problem::new(Kind::BadRequest, Run::NotRun, "the job has findings");
            return Arc::new(Outcome::Problem(bad.findings(&findings)));
        }
    };
    let Some(key) = key else {
        return match refuse_new(state) {
            Some(refusal) => refusal,
            None => start_unrecorded(state, customer, job).await,
        };
    };
    let digest = Digest::of(body.as_bytes());
    let record_key = RecordKey::new(customer.as_str(), key.to_string());
    let until = match accept_until(state, customer, key) {
        Ok(until) => until,
        Err(refusal) => return known_or(state, &record_key, digest, refusal).await,
    };
    let now = state.now();
    let (sender, outcome) = watch::channel(None);
    let handle = Handle {
        outcome,
        cancel: CancellationToken::new(),
    };
    let entry = {
        // The phase is asked under the lock that parting takes too.
        let mut records = state.homes.records();
        match records.look(&record_key) {
            None if state.phase() >= Phase::Draining => None,
            _ => Some(records.submit(&record_key, digest, until, now, handle.clone())),
        }
    };
    match entry {
        None => refuse_new(state).unwrap_or_else(unknown),
        Some(Entry::Begin) => {
            start(
                state,
                customer,
                &record_key,
                job,
                handle.cancel.clone(),
                sender,
            );
            wait(handle).await
        }
        Some(entry) => resolve(entry).await,
    }
}

/// What an entry that is not new means for the caller.
async fn resolve(entry: Entry<Handle, Arc<Outcome>>) -> Arc<Outcome> {
    match entry {
        Entry::Begin => unknown(),
        Entry::Join(handle) => wait(handle).await,
        Entry::Known(outcome) => outcome,
        Entry::Spent => problem(
            Kind::AnswerDropped,
            Run::MayHaveRun,
            "the answer is no longer kept",
        ),
        Entry::Barred => problem(
            Kind::Cancelled,
            Run::NotRun,
            "the job was cancelled before it came",
        ),
        Entry::Conflict => problem(
            Kind::KeyConflict,
            Run::MayHaveRun,
            "the key was used with another body, which may have run; this one did not",
        ),
        Entry::TooLate => problem(Kind::KeyTooOld, Run::MayHaveRun, "the key is past its time"),
        Entry::Full => problem(Kind::NotReady, Run::NotRun, "too many jobs are recorded"),
    }
}

/// The record of a key that can no longer be accepted, or the refusal.
async fn known_or(
    state: &State,
    key: &RecordKey,
    digest: Digest,
    refusal: Arc<Outcome>,
) -> Arc<Outcome> {
    let entry = {
        let mut records = state.homes.records();
        let known = records.look(key).is_some();
        // Something recorded is only looked up here: it can't begin.
        let (sender, outcome) = watch::channel(None);
        drop(sender);
        let handle = Handle {
            outcome,
            cancel: CancellationToken::new(),
        };
        known.then(|| records.submit(key, digest, Time::ZERO, state.now(), handle))
    };
    match entry {
        Some(entry) => resolve(entry).await,
        None => refusal,
    }
}

fn unknown() -> Arc<Outcome> {
    problem(
        Kind::HomeGone,
        Run::MayHaveRun,
        "the record of this key is not here",
    )
}

/// The refusal of new work by a process that stops. Once its records are with a peer, it can't
/// tell whether the work is new.
fn refuse_new(state: &State) -> Option<Arc<Outcome>> {
    if state.phase() >= Phase::Parted {
        return Some(unknown());
    }
    if state.phase() >= Phase::Draining {
        let draining = Problem::new(Kind::Draining, Run::NotRun, "this host is stopping");
        return Some(Arc::new(Outcome::Problem(draining.retry_after_ms(0))));
    }
    None
}

/// Until when a new key is accepted, on this clock; or why it is not.
fn accept_until(state: &State, customer: &Customer, key: &Key) -> Result<Time, Arc<Outcome>> {
    match key {
        Key::Ticket(ticket, _) => state
            .homes
            .offices()
            .check(ticket, customer)
            .map_err(|error| problem(Kind::ForeignTicket, Run::NotRun, error.to_string())),
        Key::Minted(uuid) => {
            judge(state, uuid).map_err(|refusal| Arc::new(Outcome::Problem(refusal)))
        }
    }
}

/// Judges the time in a minted key: until when it is accepted on this clock, or why it is not.
pub fn judge(state: &State, uuid: &Uuid) -> Result<Time, Problem> {
    let now = state.now();
    let wall_ms = state.clock.wall_ms();
    let window = state.settings.limits.minted;
    if !state.homes.guard.trusts(wall_ms, now) {
        let detail = "the wall clock was stepped; minted keys cannot be judged here";
        return Err(Problem::new(Kind::NotReady, Run::MayHaveRun, detail));
    }
    match window.judge(Key::minted_ms(uuid), wall_ms) {
        // The record outlives what any step of the wall clock within the skew would accept.
        Age::Fresh(left) => Ok(now + left + 2 * window.skew),
        Age::TooOld => Err(Problem::new(
            Kind::KeyTooOld,
            Run::MayHaveRun,
            "the key is too old",
        )),
        Age::Ahead => {
            let detail = "the key's time lies ahead of this clock";
            Err(Problem::new(Kind::KeyAhead, Run::NotRun, detail))
        }
    }
}

async fn start_unrecorded(state: &Arc<State>, customer: &Customer, job: Job) -> Arc<Outcome> {
    let (sender, outcome) = watch::channel(None);
    let cancel = CancellationToken::new();
    let handle = Handle {
        outcome,
        cancel: cancel.clone(),
    };
    let key = RecordKey::new(customer.as_str(), fresh_key());
    start(state, customer, &key, job, cancel, sender);
    wait(handle).await
}

/// Starts a job in a task of its own, so that it goes on when its caller hangs up.
fn start(
    state: &Arc<State>,
    customer: &Customer,
    key: &RecordKey,
    job: Job,
    cancel: CancellationToken,
    sender: watch::Sender<Option<Arc<Outcome>>>,
) {
    let state = state.clone();
    let customer = customer.clone();
    let key = key.clone();
    let tracker = state.work.clone();
    tracker.spawn(async move {
        let outcome = Arc::new(run(&state, &customer, &key, job, cancel).await);
        {
            let mut records = state.homes.records();
            match &*outcome {
                // It may be tried again; but what was cancelled stays so.
                Outcome::Problem(p) if !p.may_have_run && p.kind != Kind::Cancelled => {
                    records.abandon(&key);
                }
                _ => records.finish(&key, outcome.clone(), outcome.bytes()),
            }
        }
        let _ = sender.send(Some(outcome));
    });
}

async fn run(
    state: &Arc<State>,
    customer: &Customer,
    key: &RecordKey,
    job: Job,
    cancel: CancellationToken,
) -> Outcome {
    let Some((listed, allowance)) = plan_of(state, customer) else {
        let detail = "the customer is on no plan that has an allowance";
        return Outcome::Problem(Problem::new(Kind::OverPlan, Run::NotRun, detail));
    };
    let arrived = state.now();
    let accepted = job::Accepted {
        key: key.text.to_string(),
        customer: customer.clone(),
        listed,
        allowance,
        arrived,
        deadline: arrived + job.deadline,
        job,
        cancel,
    };
    job::run(state, accepted).await
}

fn plan_of(
    state: &State,
    customer: &Customer,
) -> Option<(
    heathertrack::lists::Customer,
    heathertrack::lists::Allowance,
)> {
    let plans = state.lists.plans.current()?;
    let allowances = state.lists.allowances.current()?;
    let listed = plans.value.customers.get(customer)?;
    let allowance = allowances.value.plans.get(&listed.plan)?;
    Some((listed.clone(), allowance.clone()))
}

/// Waits for a job's outcome.
async fn wait(mut handle: Handle) -> Arc<Outcome> {
    let outcome = match handle.outcome.wait_for(Option::is_some).await {
        Ok(outcome) => outcome.clone(),
        Err(_) => None,
    };
    outcome.unwrap_or_else(|| {
        problem(
            Kind::TaskFailed,
            Run::MayHaveRun,
            "the job ended without an outcome",
        )
    })
}

/// Waits for the answer of a job that was submitted before.
pub async fn look(state: &State, customer: &Customer, key: &Key, left: Duration) -> Arc<Outcome> {
    let record_key = RecordKey::new(customer.as_str(), key.to_string());
    let entry = state.homes.records().look(&record_key);
    let Some(entry) = entry else {
        if state.phase() >= Phase::Parted {
            return unknown();
        }
        return match accept_until(state, customer, key) {
            // It would still be accepted, so nothing of it was forgotten: it never came.
            Ok(until) if until >= state.now() => {
                problem(Kind::UnknownKey, Run::NotRun, "no job came under this key")
            }
            _ => problem(
                Kind::UnknownKey,
                Run::MayHaveRun,
                "nothing is known of this key",
            ),
        };
    };
    let resolved = tokio::time::timeout(left + JOIN_SPARE, resolve(entry)).await;
    resolved.unwrap_or_else(|_| {
        problem(
            Kind::DeadlinePassed,
            Run::MayHaveRun,
            "the job is still running",
        )
    })
}

/// Cancels a job; one that has not come yet will not be started.
pub async fn cancel(state: &State, customer: &Customer, key: &Key) -> Arc<Outcome> {
    let record_key = RecordKey::new(customer.as_str(), key.to_string());
    let until = match accept_until(state, customer, key) {
        Ok(until) => until,
        Err(refusal) => {
            let known = state.homes.records().look(&record_key).is_some();
            if !known {
                return refusal;
            }
            Time::ZERO
        }
    };
    let cancelled = {
        let mut records = state.homes.records();
        if state.phase() >= Phase::Parted {
            return unknown();
        }
        records.cancel(&record_key, until, state.now())
    };
    match cancelled {
        Cancelled::Running(handle) => {
            handle.cancel.cancel();
            wait(handle).await
        }
        Cancelled::Known(outcome) => outcome,
        Cancelled::Spent => problem(
            Kind::AnswerDropped,
            Run::MayHaveRun,
            "the answer is no longer kept",
        ),
        Cancelled::Barred => problem(Kind::Cancelled, Run::NotRun, "the job will not be started"),
        Cancelled::TooLate => problem(
            Kind::UnknownKey,
            Run::MayHaveRun,
            "nothing is known of this key",
        ),
        Cancelled::Full => problem(
            Kind::NotReady,
            Run::MayHaveRun,
            "too many jobs are recorded to cancel",
        ),
    }
}

/// Whether a job under this key, of whatever customer, may have run; for a caller whose token is
/// unknown and who must be told the truth all the same.
pub fn probe(state: &State, key: &Key) -> Run {
    let known = state.homes.records().knows_text(&key.to_string());
    if state.phase() >= Phase::Parted {
        return Run::MayHaveRun;
    }
    match key {
        Key::Ticket(ticket, _) if !known && state.now().as_millis() <= ticket.expires_ms => {
            Run::NotRun
        }
        Key::Minted(_) if !known => Run::NotRun,
        _ => Run::MayHaveRun,
    }
}
