//! Which tasks count as the cause when upstreams are lost under them.

use super::{
    OWNED, SIXTEEN, Started, at, listing, outcome, patient_job, pool, record, reports, starts,
};
use heathertrack::pool::job::Outcome;
use heathertrack::pool::upstream::Record;
use heathertrack::pool::{Effect, Listing, PollFailure, Pool, StartAnswer, UpstreamKey};
use std::collections::BTreeSet;

/// Time between two losses of a test, in milliseconds: a lease, and time to start again.
const ROUND_MS: u64 = 1_000;

/// Confirms that these runs have begun.
fn begin(pool: &mut Pool, started: &[Started], ms: u64) {
    for (_, run, ..) in started {
        pool.on_start_answer(*run, StartAnswer::Running, Some(5_001), at(ms));
    }
}

fn upstreams_of(started: &[Started]) -> BTreeSet<UpstreamKey> {
    started.iter().map(|start| start.0).collect()
}

/// Loses the upstreams of these runs at one instant. Their leases have expired 720 ms later.
fn lose(pool: &mut Pool, started: &[Started], failure: PollFailure, ms: u64) {
    for upstream in upstreams_of(started) {
        pool.on_poll_failed(upstream, failure, at(ms));
    }
    pool.tick(at(ms + 720));
}

/// Lets the processes answer again that the upstreams of these runs had before.
fn answer_again(pool: &mut Pool, started: &[Started], ms: u64) {
    for upstream in upstreams_of(started) {
        pool.on_poll_answer(upstream, &listing(vec![], vec![]), at(ms), at(ms));
    }
}

/// Lets new processes answer at the upstreams of these runs, which started at `ms`.
fn restart(pool: &mut Pool, started: &[Started], ms: u64) {
    for upstream in upstreams_of(started) {
        let (name, _) = pool.upstream_address(upstream).unwrap();
        let renewed = Record { started_ms: Some(ms), ..record(name.as_str()) };
        pool.update_upstream(renewed, OWNED, at(ms));
        let answer = Listing { started_ms: ms, ..listing(vec![], vec![]) };
        pool.on_poll_answer(upstream, &answer, at(ms), at(ms));
    }
}

/// Submits fourteen jobs of one task each, which fill seven upstreams.
fn submit_fourteen(pool: &mut Pool) {
    for index in 0..14 {
        pool.submit(patient_job(&format!("j{index}")), at(100));
    }
}

fn outcomes(effects: &[Effect]) -> Vec<Outcome> {
    let outcome = |effect: &Effect| match effect {
        Effect::Finish { outcome, .. } => Some(outcome.clone()),
        _ => None,
    };
    effects.iter().filter_map(outcome).collect()
}

#[test]
fn a_job_is_not_failed_for_a_crash_before_its_run_began() {
    let mut pool = pool(&["u1", "u2", "u3", "u4"]);
    pool.submit(patient_job("j"), at(100));
    let first = starts(&pool.take_effects());
    begin(&mut pool, &first, 101);
    lose(&mut pool, &first, PollFailure::Refused, 110);
    let second = starts(&pool.take_effects());

    // The order reached an upstream that had just crashed.
    pool.on_start_answer(second[0].1, StartAnswer::Unknown, None, at(835));
    lose(&mut pool, &second, PollFailure::Refused, 836);

    assert_ne!(outcome(&pool.take_effects()), Some(Outcome::Failed));
}

#[test]
fn tasks_that_ran_through_two_common_crashes_are_started_again() {
    let mut pool = pool(&SIXTEEN);
    submit_fourteen(&mut pool);
    let first = starts(&pool.take_effects());
    begin(&mut pool, &first, 101);
    lose(&mut pool, &first, PollFailure::Refused, 110);
    let second = starts(&pool.take_effects());
    begin(&mut pool, &second, 831);

    lose(&mut pool, &second, PollFailure::Refused, 840);

    let effects = pool.take_effects();
    assert_eq!(outcomes(&effects), []);
    // Two of the sixteen upstreams are left, which hold two tasks each.
    assert_eq!((second.len(), starts(&effects).len()), (14, 4));
}

#[test]
fn tasks_of_upstreams_that_fell_silent_together_are_not_given_up() {
    let mut pool = pool(&SIXTEEN);
    submit_fourteen(&mut pool);

    for round in 0..4 {
        let ms = 110 + round * ROUND_MS;
        let effects = pool.take_effects();
        let started = starts(&effects);
        assert_eq!((started.len(), outcomes(&effects)), (14, vec![]), "round {round}");
        begin(&mut pool, &started, ms - 1);
        lose(&mut pool, &started, PollFailure::NoAnswer, ms);
        restart(&mut pool, &started, ms + 730);
    }
}

#[test]
fn a_loss_is_taken_back_when_the_same_process_answers_again() {
    for failure in [PollFailure::NoAnswer, PollFailure::Refused] {
        let mut pool = pool(&["u1", "u2", "u3", "u4"]);
        pool.submit(patient_job("j"), at(100));

        for round in 0..4 {
            let ms = 110 + round * ROUND_MS;
            let effects = pool.take_effects();
            let started = starts(&effects);
            assert_eq!((started.len(), outcomes(&effects)), (1, vec![]), "round {round}");
            begin(&mut pool, &started, ms - 1);
            lose(&mut pool, &started, failure, ms);
            answer_again(&mut pool, &started, ms + 730);
        }
    }
}

/// The job may be submitted to another dispatcher next.
#[test]
fn a_loss_that_is_taken_back_is_taken_back_at_other_dispatchers() {
    let mut pool = pool(&["u1", "u2"]);
    let mut next = super::pool(&["u3"]);
    let mut pass_on = |pool: &mut Pool, ms: u64| {
        for loss in reports(&pool.take_effects()) {
            next.on_loss_report(&loss, at(ms));
        }
        next.quarantined_tasks(at(ms))
    };
    pool.submit(patient_job("j"), at(100));
    let started = starts(&pool.take_effects());
    begin(&mut pool, &started, 101);
    lose(&mut pool, &started, PollFailure::Refused, 110);
    let before = pass_on(&mut pool, 830);

    answer_again(&mut pool, &started, 840);

    assert_eq!((before, pass_on(&mut pool, 850)), (1, 0));
}

#[test]
fn a_process_that_ends_after_the_lease_of_a_run_did_not_crash_under_it() {
    let mut pool = pool(&["u1", "u2", "u3", "u4"]);
    pool.submit(patient_job("j"), at(100));

    for round in 0..3 {
        let ms = 110 + round * ROUND_MS;
        let started = starts(&pool.take_effects());
        begin(&mut pool, &started, ms - 1);
        lose(&mut pool, &started, PollFailure::NoAnswer, ms);
        restart(&mut pool, &started, ms + 730);
    }

    let ended = outcomes(&pool.take_effects());
    assert!(matches!(ended[..], [Outcome::MayHaveRun(_)]), "{ended:?}");
}

/// Only upstreams that are kept for a suspect hold it alone, and all are kept for others here.
#[test]
fn suspects_that_share_an_upstream_are_not_failed_for_its_crash() {
    let mut pool = pool(&["u1", "u2", "u3", "u4"]);
    for index in 0..4 {
        pool.submit(patient_job(&format!("j{index}")), at(100));
    }
    let first = starts(&pool.take_effects());
    begin(&mut pool, &first, 101);
    lose(&mut pool, &first, PollFailure::Refused, 110);
    let second = starts(&pool.take_effects());
    let is_shared = |start: &&Started| second.iter().filter(|s| s.0 == start.0).count() == 2;
    let shared: Vec<Started> = second.iter().filter(is_shared).cloned().collect();
    begin(&mut pool, &second, 831);

    lose(&mut pool, &shared, PollFailure::Refused, 840);

    let failed = outcomes(&pool.take_effects());
    assert_eq!((shared.len(), failed.contains(&Outcome::Failed)), (2, false));
}

#[test]
fn a_task_that_crashes_upstreams_before_they_answer_is_contained() {
    let mut pool = pool(&["u1", "u2", "u3", "u4"]);
    pool.submit(patient_job("j"), at(100));

    let (mut crashed, mut ended) = (0, Vec::new());
    for round in 0..4 {
        let effects = pool.take_effects();
        ended.extend(outcomes(&effects));
        let started = starts(&effects);
        crashed += started.len();
        for (_, run, ..) in &started {
            pool.on_start_answer(*run, StartAnswer::Unknown, None, at(105 + round * ROUND_MS));
        }
        lose(&mut pool, &started, PollFailure::Refused, 110 + round * ROUND_MS);
    }

    assert_eq!(crashed, 2);
    assert!(matches!(ended[..], [Outcome::MayHaveRun(_)]), "{ended:?}");
}

/// Two such tasks that start together crash their upstreams at the same instant.
#[test]
fn two_tasks_that_crash_upstreams_at_the_same_time_are_contained() {
    let mut pool = pool(&SIXTEEN);
    for id in ["deadly", "deadly too"] {
        let mut request = patient_job(id);
        request.steps[0].needs.cpu = record("any").capacity.cpu;
        pool.submit(request, at(100));
    }

    let mut crashed = 0;
    for round in 0..4 {
        let ms = 110 + round * ROUND_MS;
        let started = starts(&pool.take_effects());
        crashed += started.len();
        begin(&mut pool, &started, ms - 1);
        lose(&mut pool, &started, PollFailure::Refused, ms);
    }

    assert_eq!(crashed, 4);
}

#[test]
fn a_job_that_crashes_the_upstreams_of_all_its_tasks_is_contained() {
    let mut pool = pool(&SIXTEEN);
    let mut request = patient_job("j");
    request.steps[0].count = 5;
    request.steps[0].needs.cpu = record("any").capacity.cpu;
    pool.submit(request, at(100));

    let (mut crashed, mut ended) = (0, Vec::new());
    for round in 0..4 {
        let ms = 110 + round * ROUND_MS;
        let effects = pool.take_effects();
        ended.extend(outcomes(&effects));
        let started = starts(&effects);
        crashed += started.len();
        begin(&mut pool, &started, ms - 1);
        lose(&mut pool, &started, PollFailure::Refused, ms);
    }

    // The five tasks are suspects then, for two of which an upstream is kept.
    assert!(crashed <= 10, "{crashed} upstreams crashed");
    assert_eq!(ended, [Outcome::Failed]);
}

/// Another dispatcher has to count both crashes, whether or not they are proven.
#[test]
fn a_doubtful_crash_counts_at_other_dispatchers() {
    let mut pool = pool(&["u1", "u2"]);
    let mut next = super::pool(&["u3", "u4"]);
    pool.submit(patient_job("j"), at(100));
    let mut effects = pool.take_effects();
    for round in 0..2 {
        let ms = 110 + round * ROUND_MS;
        lose(&mut pool, &starts(&effects), PollFailure::Refused, ms);
        effects = pool.take_effects();
        for loss in reports(&effects) {
            next.on_loss_report(&loss, at(ms + 720));
        }
    }

    next.submit(patient_job("j"), at(3_000));

    let effects = next.take_effects();
    assert_eq!(starts(&effects).len(), 0);
    assert!(matches!(outcomes(&effects)[..], [Outcome::MayHaveRun(_)]), "{effects:?}");
}

#[test]
fn a_task_that_is_lost_in_one_common_crash_after_another_is_given_up_in_the_end() {
    let mut pool = pool(&SIXTEEN);
    submit_fourteen(&mut pool);

    let (mut rounds, mut ended) = (0, Vec::new());
    for round in 0..8 {
        let ms = 110 + round * ROUND_MS;
        let effects = pool.take_effects();
        ended.extend(outcomes(&effects));
        let started = starts(&effects);
        rounds += usize::from(!started.is_empty());
        begin(&mut pool, &started, ms - 1);
        lose(&mut pool, &started, PollFailure::Refused, ms);
        restart(&mut pool, &started, ms + 730);
    }

    assert_eq!((rounds, ended.len()), (5, 14));
    assert!(!ended.contains(&Outcome::Failed), "{ended:?}");
}
