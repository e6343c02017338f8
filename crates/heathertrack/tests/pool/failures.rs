//! Which failed runs count against a task.

use super::{Started, at, clock_ms, end, listing, outcome, patient_job, pool, starts, stops};
use heathertrack::pool::job::Outcome;
use heathertrack::pool::{Decision, Effect, Listing, Pool, RunEnd, RunningRun, StartAnswer};

/// Returns the upstream, the process and the number of each run that a job was failed for.
fn failed_runs(effects: &[Effect]) -> Vec<(String, Option<u64>, u32)> {
    let runs = effects.iter().find_map(|effect| match effect {
        Effect::Log(Decision::TaskFailed { runs, .. }) => Some(runs.clone()),
        _ => None,
    });
    let row = |run: heathertrack::pool::FailedRun| {
        (run.upstream.as_str().to_owned(), run.started_ms, run.number)
    };
    runs.unwrap_or_default().into_iter().map(row).collect()
}

#[test]
fn the_log_of_a_failed_task_names_the_runs_that_it_rests_on() {
    let mut pool = pool(&["u1", "u2"]);
    pool.submit(patient_job("j"), at(100));
    let mut effects = pool.take_effects();
    let mut failed = Vec::new();
    for (sequence, ms) in [(1, 110), (2, 120)] {
        let (upstream, run, task, number) = starts(&effects).remove(0);
        let (name, _) = pool.upstream_address(upstream).unwrap();
        pool.on_start_answer(run, StartAnswer::Running, Some(clock_ms(ms)), at(ms));
        let ends = vec![end(sequence, &task, number, RunEnd::Failed)];
        pool.on_poll_answer(upstream, &listing(vec![], ends), at(ms), at(ms + 5));
        effects = pool.take_effects();
        failed.push((name.as_str().to_owned(), Some(super::UPSTREAM_STARTED_MS), number));
    }

    assert_eq!(failed_runs(&effects), failed);
}

/// Returns a dispatcher of one upstream, and a run whose order is not answered when the upstream lists
/// its number as failed, at 105 ms.
fn failed_before_answer() -> (Pool, Started) {
    let mut pool = pool(&["u1"]);
    pool.submit(patient_job("j"), at(100));
    let started = starts(&pool.take_effects()).remove(0);
    list_failed(&mut pool, &started, 1, 105);
    (pool, started)
}

/// Lists the end of a run as failed.
fn list_failed(pool: &mut Pool, (upstream, _, task, number): &Started, sequence: u64, ms: u64) {
    let ends = vec![end(sequence, task, *number, RunEnd::Failed)];
    pool.on_poll_answer(*upstream, &listing(vec![], ends), at(ms - 1), at(ms));
}

/// Lets the next run of the task begin and fail, once. Returns the outcome of its job.
fn outcome_after_failure(pool: &mut Pool, effects: &[Effect], ms: u64) -> Option<Outcome> {
    let started = starts(effects).remove(0);
    pool.on_start_answer(started.1, StartAnswer::Running, Some(clock_ms(ms)), at(ms));
    list_failed(pool, &started, 2, ms + 5);
    outcome(&pool.take_effects())
}

#[test]
fn an_end_of_an_earlier_submission_does_not_count_for_a_run_that_is_refused() {
    let (mut pool, (_, run, ..)) = failed_before_answer();

    pool.on_start_answer(run, StartAnswer::OldNumber, Some(clock_ms(106)), at(106));

    let effects = pool.take_effects();
    assert_eq!(outcome_after_failure(&mut pool, &effects, 110), None);
}

#[test]
fn an_end_does_not_count_for_a_run_whose_order_gets_no_answer() {
    let (mut pool, started) = failed_before_answer();

    pool.on_start_answer(started.1, StartAnswer::Unknown, None, at(130));
    // The upstream counts as unresponsive until its next list.
    list_failed(&mut pool, &started, 1, 132);

    let effects = pool.take_effects();
    assert_eq!(outcome_after_failure(&mut pool, &effects, 140), None);
}

/// The order to stop the run is on its way.
#[test]
fn an_end_that_is_listed_after_an_order_without_an_answer_does_not_count() {
    let mut pool = pool(&["u1"]);
    pool.submit(patient_job("j"), at(100));
    let started = starts(&pool.take_effects()).remove(0);
    pool.on_start_answer(started.1, StartAnswer::Unknown, None, at(130));

    list_failed(&mut pool, &started, 1, 135);

    let effects = pool.take_effects();
    assert_eq!(outcome_after_failure(&mut pool, &effects, 140), None);
}

#[test]
fn ends_that_do_not_count_eject_no_upstream() {
    let mut pool = pool(&["u1"]);
    pool.submit(patient_job("j"), at(100));
    pool.submit(patient_job("k"), at(100));
    let started = starts(&pool.take_effects());
    for (sequence, started) in (1..).zip(&started) {
        list_failed(&mut pool, started, sequence, 105);
    }

    for (_, run, ..) in &started {
        pool.on_start_answer(*run, StartAnswer::Unknown, None, at(130));
    }

    let is_ejection = |effect: &Effect| matches!(effect, Effect::Log(Decision::Upstream { state, .. }) if state.contains("ejected"));
    assert_eq!(started.len(), 2);
    assert!(!pool.take_effects().iter().any(is_ejection));
}

/// The former process listed the end before the order reached the new one.
#[test]
fn an_end_on_the_former_process_does_not_count_for_a_run_on_the_new_one() {
    let mut pool = pool(&["u1"]);
    pool.submit(patient_job("j"), at(5_000));
    let started = starts(&pool.take_effects()).remove(0);
    list_failed(&mut pool, &started, 1, 5_004);

    // The clock of the new process has just started.
    pool.on_start_answer(started.1, StartAnswer::Running, Some(300), at(5_005));

    let (upstream, _, task, number) = started;
    assert!(pool.follows(upstream, &task, number));
}

/// The new process lists the run before the answer to its order arrives.
#[test]
fn an_end_on_the_former_process_does_not_end_a_run_that_the_new_one_lists() {
    let mut pool = pool(&["u1"]);
    pool.submit(patient_job("j"), at(5_000));
    let started = starts(&pool.take_effects()).remove(0);
    list_failed(&mut pool, &started, 1, 5_004);
    let (upstream, run, task, number) = started;

    let running = vec![RunningRun { task: task.clone(), number, percent: 1 }];
    let listed = Listing { started_ms: 4_700, clock_ms: 300, ..listing(running, vec![]) };
    pool.on_poll_answer(upstream, &listed, at(5_005), at(5_006));
    pool.on_start_answer(run, StartAnswer::Running, Some(301), at(5_007));

    assert!(pool.follows(upstream, &task, number));
}

/// The former process listed the end; the new one, which hasn't answered since, may run the task.
#[test]
fn a_run_without_an_answer_from_an_upstream_that_may_have_restarted_is_stopped_in_spite_of_an_end()
{
    let mut pool = pool(&["u1", "u2"]);
    pool.submit(patient_job("j"), at(5_000));
    let started = starts(&pool.take_effects()).remove(0);
    list_failed(&mut pool, &started, 1, 5_004);
    pool.take_effects();

    pool.on_start_answer(started.1, StartAnswer::Unknown, None, at(5_030));

    let effects = pool.take_effects();
    assert_eq!((stops(&effects), starts(&effects)), (vec![started.1], vec![]));
}

/// A short task fails before the answer to its start arrives on another connection.
#[test]
fn an_end_that_is_listed_before_the_answer_counts_once_the_run_is_known_to_have_begun() {
    let (mut pool, (_, run, ..)) = failed_before_answer();

    pool.on_start_answer(run, StartAnswer::Running, Some(clock_ms(106)), at(106));

    let effects = pool.take_effects();
    assert_eq!(outcome_after_failure(&mut pool, &effects, 110), Some(Outcome::Failed));
}

#[test]
fn a_run_that_is_done_before_its_order_is_answered_completes_its_job_at_once() {
    let mut pool = pool(&["u1"]);
    pool.submit(patient_job("j"), at(100));
    let (upstream, _, task, number) = starts(&pool.take_effects()).remove(0);

    let ends = vec![end(1, &task, number, RunEnd::Done)];
    pool.on_poll_answer(upstream, &listing(vec![], ends), at(101), at(105));

    assert_eq!(outcome(&pool.take_effects()), Some(Outcome::Completed));
}

/// Returns up to which end the first of these polls acknowledges.
fn acknowledged(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Poll { acknowledged, .. } => Some(*acknowledged),
        _ => None,
    })
}

/// Polls the upstream when the run is answered, and once more when the end is listed again. Returns what
/// the second poll acknowledges.
fn acknowledged_after(answer: StartAnswer) -> Option<u64> {
    let (mut pool, started) = failed_before_answer();
    pool.on_start_answer(started.1, answer, Some(clock_ms(106)), at(106));
    pool.take_effects();
    list_failed(&mut pool, &started, 1, 150);
    pool.tick(at(191));
    acknowledged(&pool.take_effects())
}

/// The dispatcher of the earlier submission may not have seen it.
#[test]
fn an_end_that_was_listed_before_the_answer_is_acknowledged_at_once_if_it_counts() {
    let counted = acknowledged_after(StartAnswer::Running);
    let foreign = acknowledged_after(StartAnswer::OldNumber);

    assert_eq!((counted, foreign), (Some(1), Some(0)));
}
