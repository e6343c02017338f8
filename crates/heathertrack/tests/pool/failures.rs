//! Which failed runs count against a task.

use super::{at, clock_ms, end, listing, patient_job, pool, starts};
use heathertrack::pool::{Decision, Effect, RunEnd, StartAnswer};

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
