//! Which process of an upstream a run belongs to, where processes follow each other under one name.

use super::{at, end, job, listing, outcome, patient_job, pool, starts};
use heathertrack::pool::job::Outcome;
use heathertrack::pool::{
    Effect, EndedRun, Listing, Pool, RunEnd, RunningRun, StartAnswer, UpstreamKey,
};

/// Unix time at which the second process of an upstream started, in milliseconds.
const SECOND_STARTED_MS: u64 = 4_000;

/// Returns the answer to a poll of the second process of an upstream, whose clock is at 300 ms.
fn second_listing(running: Vec<RunningRun>, ended: Vec<EndedRun>) -> Listing {
    Listing { clock_ms: 300, started_ms: SECOND_STARTED_MS, running, ended }
}

/// Returns the sequence numbers up to which polls acknowledge ends.
fn acknowledgements(effects: &[Effect]) -> Vec<u64> {
    let acknowledged = |effect: &Effect| match effect {
        Effect::Poll { acknowledged, .. } => Some(*acknowledged),
        _ => None,
    };
    effects.iter().filter_map(acknowledged).collect()
}

/// Returns a dispatcher with an idle upstream whose first process has listed three ends, at 300 ms.
fn after_three_ends() -> (Pool, UpstreamKey) {
    let mut pool = pool(&["u1"]);
    pool.submit(job("before", 3, 100), at(100));
    let started = starts(&pool.take_effects());
    for (_, run, ..) in &started {
        pool.on_start_answer(*run, StartAnswer::Running, Some(5_010), at(101));
    }
    let ends = started.iter().zip(1..);
    let ends = ends.map(|((_, _, task, number), n)| end(n, task, *number, RunEnd::Done));
    let upstream = started[0].0;
    pool.on_poll_answer(upstream, &listing(vec![], ends.collect()), at(102), at(300));
    pool.take_effects();
    (pool, upstream)
}

/// Runs a job on an upstream that has restarted unnoticed, after three ends of its first process.
/// The answer to the order is lost, and the run ends before the upstream is polled.
fn run_after_restart((mut pool, upstream): (Pool, UpstreamKey), ms: u64) -> Option<Outcome> {
    pool.submit(patient_job("j"), at(ms));
    let (_, run, task, number) = starts(&pool.take_effects()).remove(0);
    pool.on_start_answer(run, StartAnswer::Unknown, None, at(ms + 30));
    pool.tick(at(ms + 31));
    let acknowledged = acknowledgements(&pool.take_effects())[0];
    let mut ends = vec![end(1, &task, number, RunEnd::Done)];
    ends.retain(|end| end.sequence > acknowledged);
    pool.on_poll_answer(upstream, &second_listing(vec![], ends), at(ms + 31), at(ms + 40));
    outcome(&pool.take_effects())
}

#[test]
fn the_end_of_a_run_is_not_acknowledged_by_the_number_of_an_earlier_process() {
    let (mut pool, upstream) = after_three_ends();
    pool.tick(at(1_400));
    let acknowledged = acknowledgements(&pool.take_effects());
    pool.on_poll_answer(upstream, &listing(vec![], vec![]), at(1_400), at(1_401));
    pool.take_effects();

    let after_acknowledgement = run_after_restart((pool, upstream), 5_000);
    let before_acknowledgement = run_after_restart(after_three_ends(), 1_000);

    assert_eq!(acknowledged, [3]);
    assert_eq!(after_acknowledgement, Some(Outcome::Completed));
    assert_eq!(before_acknowledgement, Some(Outcome::Completed));
}
