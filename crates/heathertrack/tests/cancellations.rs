//! Jobs that are cancelled by their identifier.

use heathertrack::clock::Time;
use heathertrack::name::{DataCentre, Host, Upstream};
use heathertrack::pool::job::{Id, Needs, Outcome, Request, Step};
use heathertrack::pool::search::{Holding, Search, Verdict};
use heathertrack::pool::upstream::Record;
use heathertrack::pool::{
    Effect, Listing, Options, Pool, RunKey, RunningRun, StartAnswer, Task, UpstreamKey,
};
use std::time::Duration;

/// Unix time at which the process of the upstream started, in milliseconds.
const UPSTREAM_STARTED_MS: u64 = 1;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns a job of one step with `count` tasks. Two of them fit on an upstream.
fn job(id: &str, count: u32) -> Request {
    let needs = Needs { cpu: 6_800, memory: 1, accelerators: 0 };
    let estimate = Duration::from_millis(200);
    Request {
        id: Id::new(id),
        spec: "".into(),
        class: "class".into(),
        service: "service".into(),
        priority: 0,
        max_attempts: 2,
        steps: vec![Step { count, needs, estimate, ..Step::default() }],
        received: at(100),
        objective: Duration::from_millis(380),
        deadline: at(2_000),
    }
}

/// Returns the answer to a poll of the upstream.
fn listing(running: Vec<RunningRun>) -> Listing {
    Listing { clock_ms: 5_000, started_ms: UPSTREAM_STARTED_MS, running, ended: Vec::new() }
}

/// Returns a dispatcher that owns an idle upstream, and the key of the upstream.
fn pool() -> (Pool, UpstreamKey) {
    let mut pool = Pool::new(Options::default());
    let record = Record {
        name: Upstream::new("u1"),
        address: "10.0.0.1:80".into(),
        service: "service".into(),
        data_centre: DataCentre::new("a"),
        capacity: Needs { cpu: 16_000, memory: 1_000, accelerators: 0 },
        labels: Vec::new(),
        draining: false,
        started_ms: Some(UPSTREAM_STARTED_MS),
    };
    pool.update_upstream(record, true, at(90));
    let poll = |effect: &Effect| match effect {
        Effect::Poll { upstream, .. } => Some(*upstream),
        _ => None,
    };
    let upstream = pool.take_effects().iter().find_map(poll).expect("a new upstream is polled");
    pool.on_poll_answer(upstream, &listing(Vec::new()), at(90), at(91));
    pool.take_effects();
    (pool, upstream)
}

fn starts(effects: &[Effect]) -> Vec<RunKey> {
    let start = |effect: &Effect| match effect {
        Effect::Start { run, .. } => Some(*run),
        _ => None,
    };
    effects.iter().filter_map(start).collect()
}

fn stops(effects: &[Effect]) -> Vec<RunKey> {
    let stop = |effect: &Effect| match effect {
        Effect::Stop { run, .. } => Some(*run),
        _ => None,
    };
    effects.iter().filter_map(stop).collect()
}

fn outcome(effects: &[Effect]) -> Option<Outcome> {
    effects.iter().find_map(|effect| match effect {
        Effect::Finish { outcome, .. } => Some(outcome.clone()),
        _ => None,
    })
}

#[test]
fn a_job_is_cancelled_by_its_identifier_and_stays_cancelled() {
    let (mut pool, upstream) = pool();
    let id = Id::new("j");
    pool.submit(job("j", 2), at(100));
    let started = starts(&pool.take_effects());
    for run in &started {
        pool.on_start_answer(*run, StartAnswer::Running, Some(5_001), at(101));
    }

    let held = pool.cancel_by_id(&id, at(120));

    let effects = pool.take_effects();
    assert_eq!(held, Holding::Held);
    assert_eq!(stops(&effects).len(), 2);
    // Its runs have not ended yet.
    assert_eq!(outcome(&effects), None);
    assert_eq!(pool.cancel_by_id(&id, at(121)), Holding::Held);
    for run in &started {
        pool.on_stop_answer(*run, true, None, at(122));
    }
    pool.on_poll_answer(upstream, &listing(Vec::new()), at(180), at(181));
    assert_eq!(outcome(&pool.take_effects()), Some(Outcome::Cancelled));
    pool.submit(job("j", 2), at(190));
    let effects = pool.take_effects();
    assert_eq!(outcome(&effects), Some(Outcome::Cancelled));
    assert!(starts(&effects).is_empty());
}

/// The cancelling of a job may overtake its submission.
#[test]
fn a_job_that_was_cancelled_before_it_arrives_starts_nothing() {
    let (mut pool, _) = pool();

    assert_eq!(pool.cancel_by_id(&Id::new("one"), at(100)), Holding::Absent);
    pool.on_cancellation(&Id::new("other"), Duration::from_secs(5), at(100));
    for id in ["one", "other"] {
        pool.submit(job(id, 1), at(4_000));

        let effects = pool.take_effects();
        assert_eq!(outcome(&effects), Some(Outcome::Cancelled), "{id}");
        assert!(starts(&effects).is_empty(), "{id}");
    }
    assert!(!pool.is_cancelled(&Id::new("other"), at(5_100)));
}

/// The lost or unlinked dispatcher of a run may start further tasks of its job.
#[test]
fn a_job_with_runs_of_another_dispatcher_is_not_reported_as_absent() {
    let (mut pool, upstream) = pool();
    let task = Task { job: Id::new("theirs"), occurrence: 0, step: 0, index: 0 };
    let running = vec![RunningRun { task, number: 1, percent: 0 }];
    pool.on_poll_answer(upstream, &listing(running), at(95), at(96));
    pool.take_effects();

    assert_eq!(pool.cancel_by_id(&Id::new("theirs"), at(110)), Holding::Unknown);
    // The list may be seconds old, so it is asked for again.
    let polled = |effect: &Effect| matches!(effect, Effect::Poll { .. });
    assert!(pool.take_effects().iter().any(polled));
    pool.on_poll_answer(upstream, &listing(Vec::new()), at(190), at(200));
    assert_eq!(pool.cancel_by_id(&Id::new("theirs"), at(210)), Holding::Absent);
}

#[test]
fn a_job_is_not_reported_as_absent_while_the_leases_of_a_former_process_last() {
    let (mut pool, _) = pool();
    let id = Id::new("theirs");

    pool.on_start(at(100));

    assert_eq!(pool.cancel_by_id(&id, at(110)), Holding::Unknown);
    assert_eq!(pool.cancel_by_id(&id, at(900)), Holding::Absent);
}

#[test]
fn a_job_is_not_reported_as_absent_just_after_its_dispatcher_was_suspended() {
    let (mut pool, _) = pool();
    let id = Id::new("j");
    pool.submit(job("j", 1), at(100));
    let started = starts(&pool.take_effects());
    pool.on_start_answer(started[0], StartAnswer::Running, Some(5_001), at(101));

    pool.on_resume(at(750));

    assert_eq!(pool.cancel_by_id(&id, at(760)), Holding::Unknown);
    assert_eq!(pool.cancel_by_id(&id, at(1_500)), Holding::Absent);
}

/// Hosts have promised that the remembered jobs don't run.
#[test]
fn cancelled_jobs_are_remembered_in_bounded_number_and_not_forgotten_early() {
    const MAX_JOBS: usize = 16_384;
    let (mut pool, _) = pool();
    let id = |index: usize| Id::new(format!("{index:016x}"));
    for index in 0..MAX_JOBS {
        assert_eq!(pool.cancel_by_id(&id(index), at(100)), Holding::Absent);
    }

    assert_eq!(pool.cancel_by_id(&id(MAX_JOBS), at(200)), Holding::Unknown);
    assert!(pool.is_cancelled(&id(0), at(60_099)));
    assert_eq!(pool.remembered_cancellations(at(200)).len(), MAX_JOBS);
    assert_eq!(pool.cancel_by_id(&id(MAX_JOBS), at(60_100)), Holding::Absent);
    assert_eq!(pool.remembered_cancellations(at(60_100)).len(), 1);
}

#[test]
fn a_search_finds_a_job_or_proves_its_absence() {
    let hosts = ["a", "b", "c"].map(Host::new);
    let [a, b, c] = hosts.clone();
    let mut search = Search::default();

    search.record(a, Holding::Absent);
    search.record(b.clone(), Holding::Unknown);
    assert_eq!(search.verdict(&hosts), None);
    assert_eq!(search.undecided(&hosts), [&b, &c]);
    search.record(b.clone(), Holding::Absent);
    assert_eq!(search.verdict(&hosts), None);
    // A host that has left can't hold the job any more.
    assert_eq!(search.verdict(&hosts[..2]), Some(Verdict::Absent));

    search.record(c.clone(), Holding::Held);
    assert_eq!(search.verdict(&hosts), Some(Verdict::Cancelled));
    // Asked again, it no longer holds it.
    search.record(c, Holding::Absent);
    assert_eq!(search.verdict(&hosts), Some(Verdict::Cancelled));
}
