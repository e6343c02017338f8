//! Which tasks count as the cause when upstreams are lost under them.

use super::{
    GIVEN_UP, OWNED, SIXTEEN, Started, UPSTREAM_STARTED_MS, at, clock_ms, listing, losses, outcome,
    patient_job, polls, pool, record, reports, starts,
};
use heathertrack::name::Upstream;
use heathertrack::pool::job::{Id, Outcome, Request};
use heathertrack::pool::upstream::Record;
use heathertrack::pool::{
    Decision, Effect, Evidence, Listing, Loss, LossCause, PollFailure, Pool, RunningRun,
    StartAnswer, Task, UpstreamKey,
};
use std::collections::BTreeSet;

/// Time between two losses of a test, in milliseconds: a lease, and time to start again.
const ROUND_MS: u64 = 1_000;

/// Confirms that these runs have begun.
fn begin(pool: &mut Pool, started: &[Started], ms: u64) {
    for (_, run, ..) in started {
        pool.on_start_answer(*run, StartAnswer::Running, Some(clock_ms(ms)), at(ms));
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

/// Returns a job whose tasks take an upstream each.
fn large_job(id: &str, count: u32) -> Request {
    let mut request = patient_job(id);
    request.steps[0].count = count;
    request.steps[0].needs.cpu = record("any").capacity.cpu;
    request
}

/// Runs jobs whose tasks crash the upstreams that start them, for eight rounds. Returns how many
/// upstreams crashed, and the outcomes.
fn play_deadly(pool: &mut Pool, first_ms: u64) -> (usize, Vec<Outcome>) {
    let (mut crashed, mut ended) = (0, Vec::new());
    for round in 0..8 {
        let ms = first_ms + round * ROUND_MS;
        let effects = pool.take_effects();
        ended.extend(outcomes(&effects));
        let started = starts(&effects);
        crashed += started.len();
        begin(pool, &started, ms - 1);
        lose(pool, &started, PollFailure::Refused, ms);
        restart(pool, &started, ms + 730);
    }
    (crashed, ended)
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

    assert_eq!(outcome(&pool.take_effects()), Some(GIVEN_UP));
}

#[test]
fn a_job_is_not_failed_for_paths_that_refuse_connections() {
    let mut pool = pool(&["u1", "u2", "u3", "u4"]);
    pool.submit(patient_job("j"), at(100));
    let mut cut = Vec::new();
    for round in 0..2 {
        let ms = 110 + round * ROUND_MS;
        let started = starts(&pool.take_effects());
        begin(&mut pool, &started, ms - 1);
        lose(&mut pool, &started, PollFailure::Refused, ms);
        cut.extend(started);
    }
    let ended = outcomes(&pool.take_effects());

    answer_again(&mut pool, &cut, 4_000);

    assert_eq!(cut.len(), 2);
    assert_eq!(ended, [GIVEN_UP]);
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
    // Two of the sixteen upstreams are left, which hold two tasks each. One of them is kept for a
    // task that has been lost twice.
    assert_eq!((second.len(), starts(&effects).len()), (14, 3));
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
    assert_eq!(ended, [GIVEN_UP]);
}

/// Another dispatcher has to count both crashes, also of runs that may not have begun.
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

#[test]
fn jobs_that_crash_upstreams_in_step_are_contained_also_when_submitted_again() {
    let mut pool = pool(&SIXTEEN);
    let mut crashed = 0;
    for first_ms in [110, 10_110, 20_110] {
        for id in ["deadly", "deadly too", "deadly as well"] {
            pool.submit(large_job(id, 1), at(first_ms - 10));
        }
        crashed += play_deadly(&mut pool, first_ms).0;
    }

    assert!(crashed <= 9, "{crashed} upstreams crashed under three tasks");
}

/// Submits a deadly job at these instants, in seconds. Returns how many upstreams crashed after each.
fn crashes_by_submission(seconds: impl IntoIterator<Item = u64>) -> Vec<usize> {
    let mut pool = pool(&SIXTEEN);
    let mut crashes_after = |second: u64| {
        let first_ms = second * 1_000 + 110;
        let (received, deadline) = (at(first_ms - 10), at(first_ms + 9_000));
        pool.submit(Request { received, deadline, ..patient_job("deadly") }, received);
        play_deadly(&mut pool, first_ms).0
    };
    seconds.into_iter().map(&mut crashes_after).collect()
}

#[test]
fn a_deadly_job_that_is_sent_again_after_a_minute_crashes_one_upstream_more() {
    let crashes = crashes_by_submission([0, 10, 30, 55, 75, 140]);

    assert_eq!(crashes, [2, 0, 0, 0, 1, 0]);
}

/// The users let a task be started twice more after three upstreams have crashed under it.
#[test]
fn a_deadly_job_that_is_sent_again_and_again_crashes_five_upstreams_at_most() {
    let crashes = crashes_by_submission((0..130).map(|index| index * 10));

    assert!(crashes.iter().sum::<usize>() <= 5, "{crashes:?}");
}

/// Reports to a dispatcher, at one second, that two upstreams have crashed under the task of a job.
fn report_two_crashes(pool: &mut Pool) -> Vec<Loss> {
    let task = Task { job: Id::new("deadly"), occurrence: 0, step: 0, index: 0 };
    let loss = |name| Loss {
        upstream: Upstream::new(name),
        started_ms: Some(UPSTREAM_STARTED_MS),
        cause: LossCause::Refused,
        is_doubtful: true,
        tasks: vec![task.clone()],
    };
    let losses = vec![loss("v1"), loss("v2")];
    for loss in &losses {
        pool.on_loss_report(loss, at(1_000));
    }
    losses
}

/// Other hosts count a report from its arrival on.
#[test]
fn losses_that_are_older_than_a_minute_are_not_reported_again() {
    let mut pool = pool(&["u1"]);
    report_two_crashes(&mut pool);

    let reported = [30_000, 62_000].map(|ms| pool.remembered_losses(at(ms)).len());

    assert_eq!(reported, [2, 0]);
}

#[test]
fn a_loss_that_is_reported_again_after_a_minute_bars_no_task_again() {
    let mut pool = pool(&["u1"]);
    let losses = report_two_crashes(&mut pool);

    pool.on_loss_report(&losses[0], at(62_000));
    let (received, deadline) = (at(62_000), at(71_000));
    pool.submit(Request { received, deadline, ..patient_job("deadly") }, received);

    assert_eq!(starts(&pool.take_effects()).len(), 1);
}

#[test]
fn a_wide_job_whose_other_tasks_go_on_is_not_failed_for_two_common_crashes() {
    let mut pool = pool(&SIXTEEN);
    let mut request = large_job("wide", 10);
    request.steps[0].needs.cpu = 9_000;
    pool.submit(request, at(100));

    let (mut running, mut ended) = (Vec::new(), Vec::new());
    for round in 0..2 {
        let ms = 110 + round * ROUND_MS;
        let effects = pool.take_effects();
        ended.extend(outcomes(&effects));
        let mut started = starts(&effects);
        begin(&mut pool, &started, ms - 1);
        // A rack of four upstreams crashes, first with tasks of the first start, then of the second.
        started.truncate(4);
        lose_beside(&mut pool, &mut running, &effects, &started, ms);
    }
    ended.extend(outcomes(&pool.take_effects()));

    assert_eq!(ended, []);
}

/// Loses the upstreams of `lost` at one instant, while the other runs that were started go on.
fn lose_beside(
    pool: &mut Pool,
    running: &mut Vec<Started>,
    effects: &[Effect],
    lost: &[Started],
    ms: u64,
) {
    let crashed = upstreams_of(lost);
    running.extend(starts(effects));
    running.retain(|start| !crashed.contains(&start.0));
    for upstream in &crashed {
        pool.on_poll_failed(*upstream, PollFailure::Refused, at(ms));
    }
    for upstream in upstreams_of(running) {
        let there = running.iter().filter(|start| start.0 == upstream);
        let row = |start: &Started| RunningRun {
            task: start.2.clone(),
            number: start.3,
            percent: ms as u32 / 100,
        };
        let rows = there.map(row).collect();
        pool.on_poll_answer(upstream, &listing(rows, vec![]), at(ms + 500), at(ms + 500));
    }
    pool.tick(at(ms + 720));
    restart(pool, lost, ms + 730);
}

/// Idle upstreams are polled every few seconds only.
#[test]
fn a_common_crash_of_mostly_idle_upstreams_fails_no_job() {
    let mut pool = pool(&SIXTEEN);
    pool.submit(patient_job("j"), at(100));
    let mut effects = pool.take_effects();

    for round in 0..2 {
        let ms = 110 + round * ROUND_MS;
        let started = starts(&effects);
        assert_eq!(started.len(), 1, "round {round}");
        begin(&mut pool, &started, ms - 1);
        pool.take_effects();
        pool.on_poll_failed(started[0].0, PollFailure::Refused, at(ms));
        // The idle upstreams that are polled next have crashed as well.
        let idle = polls(&pool.take_effects()).into_iter().filter(|key| *key != started[0].0);
        let idle: Vec<UpstreamKey> = idle.take(10).collect();
        idle.iter().for_each(|key| pool.on_poll_failed(*key, PollFailure::Refused, at(ms + 2)));
        pool.tick(at(ms + 720));
        effects = pool.take_effects();
    }

    assert_eq!(outcomes(&effects), []);
}

#[test]
fn suspects_that_share_an_upstream_are_not_failed_after_single_crashes() {
    let mut pool = pool(&["u1", "u2", "u3", "u4"]);
    for index in 0..4 {
        pool.submit(patient_job(&format!("j{index}")), at(100));
    }
    let first = starts(&pool.take_effects());
    begin(&mut pool, &first, 101);
    for (index, upstream) in upstreams_of(&first).into_iter().enumerate() {
        pool.on_poll_failed(upstream, PollFailure::Refused, at(110 + 290 * index as u64));
    }
    pool.tick(at(830));
    let second = starts(&pool.take_effects());
    let is_shared = |start: &&Started| second.iter().filter(|s| s.0 == start.0).count() == 2;
    let shared: Vec<Started> = second.iter().filter(is_shared).cloned().collect();
    begin(&mut pool, &second, 831);

    lose(&mut pool, &shared, PollFailure::Refused, 840);

    let ended = outcomes(&pool.take_effects());
    assert_eq!((shared.len(), ended.contains(&Outcome::Failed)), (2, false), "{ended:?}");
}

#[test]
fn a_crash_is_not_taken_back_when_another_process_answers() {
    let mut pool = pool(&["u1", "u2", "u3", "u4"]);
    pool.submit(patient_job("deadly"), at(100));

    assert_eq!(play_deadly(&mut pool, 110), (2, vec![GIVEN_UP]));
}

#[test]
fn an_answer_from_before_a_crash_takes_nothing_back() {
    let mut pool = pool(&["u1", "u2", "u3", "u4"]);
    pool.submit(patient_job("j"), at(100));
    let started = starts(&pool.take_effects());
    begin(&mut pool, &started, 101);
    lose(&mut pool, &started, PollFailure::Refused, 110);

    pool.on_poll_answer(started[0].0, &listing(vec![], vec![]), at(105), at(840));

    assert_eq!(pool.quarantined_tasks(at(850)), 1);
}

#[test]
fn losses_that_are_taken_back_do_not_count_towards_the_total() {
    let mut pool = pool(&["u1", "u2", "u3", "u4"]);
    pool.submit(patient_job("j"), at(100));

    for round in 0..7 {
        let ms = 110 + round * ROUND_MS;
        let effects = pool.take_effects();
        let started = starts(&effects);
        assert_eq!((started.len(), outcomes(&effects)), (1, vec![]), "round {round}");
        begin(&mut pool, &started, ms - 1);
        lose(&mut pool, &started, PollFailure::NoAnswer, ms);
        answer_again(&mut pool, &started, ms + 730);
    }
}

/// The upstreams of a rack are noticed one after another, and are back before the last lease has
/// expired.
#[test]
fn a_rack_that_restarts_within_a_lease_blames_no_task() {
    let mut pool = pool(&SIXTEEN);
    submit_fourteen(&mut pool);

    for round in 0..3 {
        let ms = 110 + round * ROUND_MS;
        let effects = pool.take_effects();
        assert_eq!(outcomes(&effects), [], "round {round}");
        let started = starts(&effects);
        begin(&mut pool, &started, ms - 1);
        for (index, upstream) in upstreams_of(&started).into_iter().enumerate() {
            pool.on_poll_failed(upstream, PollFailure::Refused, at(ms + 4 * index as u64));
        }
        for (index, start) in started.iter().enumerate() {
            restart(&mut pool, std::slice::from_ref(start), ms + 300 + 20 * index as u64);
        }
        pool.tick(at(ms + 720));
    }
}

/// Another host may have renewed the lease, so that the run is followed beyond its own one.
#[test]
fn a_replaced_process_has_crashed_only_within_the_lease_of_its_runs() {
    for (ms, cause) in [(400, LossCause::Replaced), (2_000, LossCause::Unresponsive)] {
        let mut pool = pool(&["u1"]);
        pool.set_has_competitors(true);
        pool.submit(patient_job("j"), at(100));
        let started = starts(&pool.take_effects());
        begin(&mut pool, &started, 101);

        restart(&mut pool, &started, ms);

        assert_eq!(losses(&pool.take_effects()), [(cause, 1)]);
    }
}

#[test]
fn upstreams_that_are_found_silent_one_after_another_blame_no_task() {
    let mut pool = pool(&SIXTEEN);
    submit_fourteen(&mut pool);

    for round in 0..4 {
        let ms = 110 + round * 2 * ROUND_MS;
        let effects = pool.take_effects();
        assert_eq!(outcomes(&effects), [], "round {round}");
        let started = starts(&effects);
        begin(&mut pool, &started, ms - 1);
        for (index, upstream) in upstreams_of(&started).into_iter().enumerate() {
            pool.on_poll_failed(upstream, PollFailure::NoAnswer, at(ms + 40 * index as u64));
        }
        pool.tick(at(ms + ROUND_MS));
        restart(&mut pool, &started, ms + ROUND_MS + 10);
    }
}

#[test]
fn a_verdict_is_logged_with_the_losses_that_it_rests_on() {
    let mut pool = pool(&["u1", "u2", "u3", "u4"]);
    pool.submit(patient_job("deadly"), at(100));
    let mut effects = pool.take_effects();
    let mut started = starts(&effects);
    for round in 0..2 {
        let ms = 110 + round * ROUND_MS;
        begin(&mut pool, &started, ms - 1);
        lose(&mut pool, &started, PollFailure::Refused, ms);
        let of_round = pool.take_effects();
        started = starts(&of_round);
        effects.extend(of_round);
    }

    let seen_ages: Vec<u128> = effects.iter().flat_map(lost_runs).collect();
    let ages: Vec<u128> = effects.iter().flat_map(evidence_ages).collect();
    // Seen 1 ms before the upstream stopped, lost 720 ms after that.
    assert_eq!(seen_ages, [721, 721]);
    assert_eq!(ages, [ROUND_MS.into(), 0]);
}

#[test]
fn a_lost_run_is_logged_with_the_time_since_it_was_last_listed() {
    let mut pool = pool(&["u1", "u2"]);
    pool.submit(patient_job("j"), at(100));
    let started = starts(&pool.take_effects());
    begin(&mut pool, &started, 101);
    let (upstream, _, task, number) = started[0].clone();
    let row = RunningRun { task, number, percent: 10 };
    pool.on_poll_answer(upstream, &listing(vec![row], vec![]), at(300), at(300));

    lose(&mut pool, &started, PollFailure::Refused, 400);

    let ages: Vec<u128> = pool.take_effects().iter().flat_map(lost_runs).collect();
    assert_eq!(ages, [820]);
}

/// Hosts of the release before would answer the job as failed for crashes that are not doubtful.
#[test]
fn a_crash_is_reported_as_doubtful() {
    let mut pool = pool(&["u1", "u2", "u3", "u4"]);
    pool.submit(patient_job("deadly"), at(100));
    let mut reported = Vec::new();
    let mut started = starts(&pool.take_effects());
    for round in 0..2 {
        let ms = 110 + round * ROUND_MS;
        begin(&mut pool, &started, ms - 1);
        lose(&mut pool, &started, PollFailure::Refused, ms);
        let effects = pool.take_effects();
        reported.extend(reports(&effects));
        started = starts(&effects);
    }

    reported.extend(pool.remembered_losses(at(2_000)));

    let rows: Vec<_> = reported.iter().map(|loss| (loss.cause, loss.is_doubtful)).collect();
    assert!(rows.len() >= 3, "{rows:?}");
    assert!(rows.iter().all(|row| *row == (LossCause::Refused, true)), "{rows:?}");
}

#[test]
fn evidence_names_the_losses_that_another_dispatcher_reported() {
    let mut pool = pool(&["u1"]);
    let mut next = super::pool(&["u2"]);
    pool.submit(patient_job("deadly"), at(100));
    let started = starts(&pool.take_effects());
    begin(&mut pool, &started, 101);
    lose(&mut pool, &started, PollFailure::Refused, 110);
    for loss in reports(&pool.take_effects()) {
        next.on_loss_report(&loss, at(900));
    }
    next.submit(patient_job("deadly"), at(1_000));
    let again = starts(&next.take_effects());
    begin(&mut next, &again, 1_001);

    lose(&mut next, &again, PollFailure::Refused, 1_010);

    let rows: Vec<_> = next.take_effects().iter().flat_map(evidence_rows).collect();
    let row = |name: &str, is_reported| (name.to_owned(), "crash", is_reported);
    assert_eq!(rows, [row("u1", true), row("u2", false)]);
}

#[test]
fn a_loss_that_is_taken_back_is_logged_with_its_tasks() {
    let mut pool = pool(&["u1", "u2"]);
    pool.submit(patient_job("j"), at(100));
    let started = starts(&pool.take_effects());
    begin(&mut pool, &started, 101);
    lose(&mut pool, &started, PollFailure::Refused, 110);

    answer_again(&mut pool, &started, 840);

    let task = &started[0].2;
    let is_it = |effect: &Effect| matches!(effect, Effect::Log(Decision::LossTakenBack { loss }) if loss.tasks[..] == [task.clone()]);
    assert!(pool.take_effects().iter().any(is_it));
}

/// Returns how long ago each lost run was last reported as running, in milliseconds.
fn lost_runs(effect: &Effect) -> Vec<u128> {
    match effect {
        Effect::Log(Decision::RunsLost { runs, .. }) => {
            runs.iter().filter_map(|run| run.seen_age).map(|age| age.as_millis()).collect()
        }
        _ => Vec::new(),
    }
}

/// Returns the ages of the losses that a verdict rests on, in milliseconds.
fn evidence_ages(effect: &Effect) -> Vec<u128> {
    match effect {
        Effect::Log(Decision::TaskQuarantined { evidence, .. }) => {
            evidence.iter().map(|loss| loss.age.as_millis()).collect()
        }
        _ => Vec::new(),
    }
}

/// Returns the losses that a verdict rests on: the upstream, what the loss says, and whether another
/// dispatcher reported it.
fn evidence_rows(effect: &Effect) -> Vec<(String, &'static str, bool)> {
    match effect {
        Effect::Log(Decision::TaskQuarantined { evidence, .. }) => {
            let row = |loss: &Evidence| (loss.upstream.to_string(), loss.blame, loss.is_reported);
            evidence.iter().map(row).collect()
        }
        _ => Vec::new(),
    }
}
