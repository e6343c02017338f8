//! Which process of an upstream a run belongs to, where processes follow each other under one name.

use super::{
    OWNED, Started, UPSTREAM_STARTED_MS, at, clock_ms, end, job, listing, losses, outcome,
    patient_job, polls, pool, record, renewals, reports, starts,
};
use heathertrack::pool::job::Outcome;
use heathertrack::pool::upstream::Record;
use heathertrack::pool::{
    Effect, EndedRun, Listing, LossCause, PollFailure, Pool, RunEnd, RunningRun, StartAnswer,
    UpstreamKey,
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

/// Orders a run at 5,000 ms from an upstream that last answered at 91 ms and has restarted since, and
/// passes on this answer and clock at 5,005 ms. Then the upstream answers no more. Returns when the
/// task is started on the other upstream, on a grid of 10 ms.
fn restarted_ms(answer: StartAnswer, clock_ms: Option<u64>) -> u64 {
    let mut pool = pool(&["u1", "u2"]);
    pool.submit(patient_job("j"), at(5_000));
    let (upstream, run, ..) = starts(&pool.take_effects()).remove(0);
    pool.on_start_answer(run, answer, clock_ms, at(5_005));
    pool.on_poll_failed(upstream, PollFailure::NoAnswer, at(5_070));
    let is_started = |ms: &u64| {
        pool.tick(at(*ms));
        !starts(&pool.take_effects()).is_empty()
    };
    (5_070..8_000).step_by(10).find(is_started).unwrap_or_default()
}

/// A lease on the clock of the former process ends far in the future of the new one, which shortens it
/// to 1,000 ms. Its clock may be 2% slow.
#[test]
fn a_run_on_a_process_that_restarted_unnoticed_is_not_over_before_the_longest_lease() {
    let restarted = restarted_ms(StartAnswer::Running, Some(300));
    let unanswered = restarted_ms(StartAnswer::Unknown, None);
    let same_process = restarted_ms(StartAnswer::Running, Some(clock_ms(5_005)));

    assert_eq!(restarted, 6_030);
    assert_eq!(unanswered, 6_030);
    assert_eq!(same_process, 5_720);
}

/// Nothing is known of the new process's clock before its first list.
#[test]
fn a_run_on_a_process_that_its_record_has_announced_is_not_over_before_the_longest_lease() {
    let mut pool = pool(&["u1", "u2"]);
    for name in ["u1", "u2"] {
        let restarted = Record { started_ms: Some(SECOND_STARTED_MS), ..record(name) };
        pool.update_upstream(restarted, OWNED, at(95));
    }
    pool.submit(patient_job("j"), at(100));
    let (upstream, run, ..) = starts(&pool.take_effects()).remove(0);
    pool.on_start_answer(run, StartAnswer::Unknown, None, at(105));
    pool.on_poll_failed(upstream, PollFailure::NoAnswer, at(170));

    pool.tick(at(1_120));
    let early = starts(&pool.take_effects()).len();
    pool.tick(at(1_130));

    assert_eq!((early, starts(&pool.take_effects()).len()), (0, 1));
}

/// The order to start and the poll are on their way when the upstream has restarted.
#[test]
fn a_poll_renews_no_lease_by_an_old_clock_after_an_order_without_an_answer() {
    let mut pool = pool(&["u1"]);
    pool.submit(patient_job("j"), at(5_000));
    let (_, run, ..) = starts(&pool.take_effects()).remove(0);

    pool.on_start_answer(run, StartAnswer::Unknown, None, at(5_030));
    let effects = pool.take_effects();
    pool.tick(at(5_031));
    let polled = pool.take_effects();

    assert_eq!(polls(&effects).len() + polls(&polled).len(), 1);
    assert_eq!(renewals(&effects) + renewals(&polled), 0);
}

/// Lets an upstream refuse connections from `ms` until the leases of its runs have expired.
fn refuse(pool: &mut Pool, upstream: UpstreamKey, ms: u64) -> Vec<Effect> {
    pool.on_poll_failed(upstream, PollFailure::Refused, at(ms));
    pool.tick(at(ms + 1_100));
    pool.take_effects()
}

#[test]
fn runs_of_two_processes_that_are_lost_at_once_are_recorded_under_their_own() {
    let mut pool = pool(&["u1"]);
    pool.submit(patient_job("first"), at(100));
    let (upstream, run, first, _) = starts(&pool.take_effects()).remove(0);
    pool.on_start_answer(run, StartAnswer::Running, Some(clock_ms(101)), at(101));
    // The answer to a poll that was sent before the first run doesn't prove that it is over.
    pool.on_poll_answer(upstream, &second_listing(vec![], vec![]), at(99), at(110));
    pool.submit(patient_job("second"), at(111));
    let (_, run, second, _) = starts(&pool.take_effects()).remove(0);
    pool.on_start_answer(run, StartAnswer::Running, Some(302), at(112));

    let lost = reports(&refuse(&mut pool, upstream, 120));

    let lost: Vec<_> = lost.into_iter().map(|loss| (loss.started_ms, loss.tasks)).collect();
    let expected =
        [(Some(UPSTREAM_STARTED_MS), vec![first]), (Some(SECOND_STARTED_MS), vec![second])];
    assert_eq!(lost, expected);
}

/// Returns a dispatcher with a run that was ordered from the first process of an idle upstream, and is
/// answered by the second one at 5,005 ms.
fn started_on_second() -> (Pool, Started) {
    let mut pool = pool(&["u1"]);
    pool.submit(patient_job("j"), at(5_000));
    let started = starts(&pool.take_effects()).remove(0);
    pool.on_start_answer(started.1, StartAnswer::Running, Some(300), at(5_005));
    pool.take_effects();
    (pool, started)
}

#[test]
fn the_loss_of_a_process_that_restarted_unnoticed_is_taken_back_when_it_answers_again() {
    let (mut pool, (upstream, _, task, number)) = started_on_second();
    let row = RunningRun { task, number, percent: 10 };
    pool.on_poll_answer(upstream, &second_listing(vec![row], vec![]), at(5_006), at(5_010));
    refuse(&mut pool, upstream, 5_020);
    let lost = pool.quarantined_tasks(at(6_120));

    pool.on_poll_answer(upstream, &second_listing(vec![], vec![]), at(7_000), at(7_001));

    assert_eq!((lost, pool.quarantined_tasks(at(7_001))), (1, 0));
}

/// Without a list it isn't known which process was lost, so its answer couldn't take the loss back.
#[test]
fn the_loss_of_a_process_that_no_list_has_shown_blames_no_task() {
    let (mut pool, (upstream, ..)) = started_on_second();

    let effects = refuse(&mut pool, upstream, 5_020);

    assert_eq!(losses(&effects), [(LossCause::Refused, 1)]);
    assert_eq!(reports(&effects), []);
    assert_eq!(pool.quarantined_tasks(at(6_120)), 0);
}

/// A list is missing the run, as its end was acknowledged by another dispatcher.
#[test]
fn a_run_that_the_new_process_has_listed_is_not_lost_with_the_former_one() {
    let (mut pool, (upstream, _, task, number)) = started_on_second();
    let row = RunningRun { task, number, percent: 10 };
    pool.on_poll_answer(upstream, &second_listing(vec![row], vec![]), at(5_006), at(5_010));

    pool.on_poll_answer(upstream, &second_listing(vec![], vec![]), at(5_011), at(5_020));

    assert_eq!(losses(&pool.take_effects()), []);
}

/// Returns a dispatcher with a run on the second process of an upstream, which has another address
/// than the first one and has answered there at 105 ms.
fn moved() -> (Pool, Started) {
    let mut pool = pool(&["u1"]);
    let address = "10.0.0.2:80".into();
    let moved = Record { started_ms: Some(SECOND_STARTED_MS), address, ..record("u1") };
    pool.update_upstream(moved, OWNED, at(100));
    let upstream = polls(&pool.take_effects())[0];
    pool.on_poll_answer(upstream, &second_listing(vec![], vec![]), at(100), at(105));
    pool.submit(patient_job("j"), at(110));
    let started = starts(&pool.take_effects()).remove(0);
    pool.on_start_answer(started.1, StartAnswer::Running, Some(307), at(111));
    pool.take_effects();
    (pool, started)
}

#[test]
fn a_late_answer_from_the_former_address_loses_no_run() {
    let (mut pool, (upstream, ..)) = moved();

    // Another upstream has taken over the former address, and answers a poll sent there at 95 ms.
    pool.on_process_replaced(upstream, at(95), at(112));
    let late = losses(&pool.take_effects());
    pool.on_process_replaced(upstream, at(120), at(122));

    assert_eq!((late, losses(&pool.take_effects())), (vec![], vec![(LossCause::Replaced, 1)]));
}

#[test]
fn another_process_at_an_address_without_an_answer_proves_no_run_over() {
    let (mut pool, (upstream, ..)) = moved();
    let address = "10.0.0.3:80".into();
    let false_record = Record { started_ms: Some(u64::MAX), address, ..record("u1") };
    pool.update_upstream(false_record, OWNED, at(112));

    pool.on_process_replaced(upstream, at(112), at(113));
    let early = losses(&pool.take_effects());
    // The lease of 700 ms was granted at 110 ms.
    pool.tick(at(830));

    assert_eq!((early, losses(&pool.take_effects())), (vec![], vec![(LossCause::Unresponsive, 1)]));
}

#[test]
fn a_start_that_another_process_refused_blames_no_task() {
    let mut pool = pool(&["u1", "u2"]);
    pool.submit(patient_job("j"), at(100));
    let (upstream, run, ..) = starts(&pool.take_effects()).remove(0);

    pool.on_start_answer(run, StartAnswer::Replaced, None, at(101));

    let effects = pool.take_effects();
    let again = starts(&effects);
    assert_eq!(reports(&effects), []);
    assert_eq!((again.len(), pool.quarantined_tasks(at(101))), (1, 0));
    assert_ne!(again[0].0, upstream);
}

/// Polls on two connections are answered in the wrong order.
#[test]
fn a_late_list_of_the_former_process_does_not_bring_it_back() {
    let mut pool = pool(&["u1"]);
    let restarted = Record { started_ms: Some(SECOND_STARTED_MS), ..record("u1") };
    pool.update_upstream(restarted, OWNED, at(100));
    let upstream = polls(&pool.take_effects())[0];
    pool.on_poll_answer(upstream, &second_listing(vec![], vec![]), at(104), at(105));

    pool.on_poll_answer(upstream, &listing(vec![], vec![]), at(103), at(106));

    pool.submit(patient_job("j"), at(110));
    let lease_end = pool.take_effects().into_iter().find_map(|effect| match effect {
        Effect::Start { lease_end_ms, .. } => Some(lease_end_ms),
        _ => None,
    });
    // By the clock of the second process.
    assert_eq!(lease_end, Some(300 + 4 + 700));
}
