//! Compares the dispatcher with a simple oracle: no task is lost or duplicated, no upstream exceeds
//! its slots or its worker's size, an upstream that is leaving gets no new tasks, the share of
//! ejected upstreams is bounded, and no task starves.

mod event;
mod model;

use crate::harness::{FuzzConfig, check};
use event::{ACCELERATED, Event, SMALL, SUCCESS, WHOLE_WORKER};
use heathertrack::clock::Time;
use heathertrack::dispatch::{Finish, Needs, RunKey};
use model::{Model, TaskState, UPSTREAMS};
use quickcheck::TestResult;
use std::time::Duration;

const CONFIG: FuzzConfig = FuzzConfig { length: 250, cases: 300 };
/// Maximum number of upstreams ejected at once: a third of five, rounded down.
const MAX_EJECTED: usize = 1;

fn matches_oracle(events: Vec<Event>) -> TestResult {
    let mut model = Model::new();
    for event in events {
        if let Err(fault) = model.apply(event) {
            return TestResult::error(fault);
        }
    }
    TestResult::passed()
}

#[test]
fn no_task_is_lost_duplicated_or_misplaced() {
    check(CONFIG, matches_oracle as fn(Vec<Event>) -> TestResult);
}

#[test]
fn every_queued_task_starts_once_slots_are_free() {
    fn property(events: Vec<Event>) -> TestResult {
        let mut model = Model::new();
        for event in events {
            let outcome = match event {
                // Only time and new tasks: all upstreams stay, and every task succeeds.
                Event::Enqueue { .. } | Event::Advance { .. } => model.apply(event),
                _ => Ok(()),
            };
            if let Err(fault) = outcome {
                return TestResult::error(fault);
            }
        }
        // Each event ends one running task, and the slot is then free for a queued one.
        for _ in 0..2 * model.tasks.len() {
            if let Err(fault) = model.apply(Event::End { which: 0, finish: SUCCESS }) {
                return TestResult::error(fault);
            }
        }
        let left = model.dispatcher.queued_count() + model.dispatcher.running_count();
        TestResult::from_bool(left == 0)
    }
    check(CONFIG, property as fn(Vec<Event>) -> TestResult);
}

/// Adds a task with a declared run time of 50 ms.
fn enqueue(needs: Needs, deadline_ms: u16) -> Event {
    Event::Enqueue { declared_ms: 50, deadline_ms, customer: 0, needs }
}

#[test]
fn tasks_that_fit_nowhere_do_not_delay_others() {
    let mut model = Model::new();
    // Only this upstream has the accelerator that the first tasks need.
    model.specs[0].leaving = true;
    model.update();

    for _ in 0..200 {
        model.apply(enqueue(ACCELERATED, 60_000)).expect("the dispatcher matches the oracle");
    }
    model.apply(enqueue(SMALL, 60_000)).expect("the dispatcher matches the oracle");

    assert!(matches!(model.tasks[200], TaskState::Running(..)), "{:?}", model.tasks[200]);
}

#[test]
fn small_tasks_that_keep_coming_do_not_starve_a_large_one() {
    let mut model = Model::new();
    let large = 20;

    for number in 0..400 {
        let needs = if number == large { WHOLE_WORKER } else { SMALL };
        model.apply(enqueue(needs, 60_000)).expect("the dispatcher matches the oracle");
        model.now = model.now + Duration::from_millis(10);
        // At first tasks only arrive and fill all slots. From here on one ends for each that
        // arrives, so the queue is never empty.
        if number > 15 {
            model.end(number * 7, SUCCESS).expect("the dispatcher matches the oracle");
        }
    }

    assert!(!matches!(model.tasks[large], TaskState::Queued(..)), "{:?}", model.tasks[large]);
}

/// Enqueues `count` tasks. Each ends at once: with a failure if it is assigned to one of the
/// upstreams with an index in `faulty`, otherwise with success. Returns the number of tasks
/// assigned to each upstream.
fn run_with_a_failing_upstream(model: &mut Model, faulty: &[usize], count: usize) -> Vec<i32> {
    let mut assigned = vec![0; UPSTREAMS];
    for _ in 0..count {
        let _ = model.apply(enqueue(SMALL, 5_000));
        let running: Vec<(usize, RunKey, usize)> = model
            .tasks
            .iter()
            .enumerate()
            .filter_map(|(number, state)| match state {
                TaskState::Running(run, at) => Some((number, *run, *at)),
                _ => None,
            })
            .collect();
        for (number, run, at) in running {
            assigned[at] += 1;
            let finish = if faulty.contains(&at) { Finish::Failed } else { Finish::Succeeded };
            model.dispatcher.finish(run, finish, model.now);
            model.tasks[number] = TaskState::Ended;
        }
        model.now = model.now + Duration::from_millis(5);
    }
    assigned
}

#[test]
fn an_upstream_that_fails_everything_gets_almost_nothing() {
    let mut model = Model::new();

    // The upstream is ejected during these tasks, which don't count.
    run_with_a_failing_upstream(&mut model, &[2], 200);
    let later = run_with_a_failing_upstream(&mut model, &[2], 2_000);

    let share = f64::from(later[2]) / f64::from(later.iter().sum::<i32>());
    assert!(share <= 0.02, "{later:?}");
}

/// Enqueues a task every 20 ms. Those assigned to the upstream with the index `faulty` hang until
/// their deadline and are then abandoned; the others succeed at once. Returns the number of tasks
/// assigned to each upstream.
fn run_with_a_hanging_upstream(model: &mut Model, faulty: usize, count: usize) -> Vec<i32> {
    const DEADLINE_MS: u16 = 2_000;
    let mut assigned = vec![0; UPSTREAMS];
    let mut hanging: Vec<(usize, RunKey, Time)> = Vec::new();
    for _ in 0..count {
        let _ = model.apply(enqueue(SMALL, DEADLINE_MS));
        for number in 0..model.tasks.len() {
            let TaskState::Running(run, at) = model.tasks[number] else { continue };
            model.tasks[number] = TaskState::Ended;
            assigned[at] += 1;
            if at == faulty {
                let deadline = model.now + Duration::from_millis(u64::from(DEADLINE_MS));
                hanging.push((number, run, deadline));
            } else {
                model.dispatcher.finish(run, Finish::Succeeded, model.now);
            }
        }
        model.now = model.now + Duration::from_millis(20);
        let now = model.now;
        hanging.retain(|(_, run, deadline)| {
            if *deadline <= now {
                model.dispatcher.finish(*run, Finish::Abandoned, now);
            }
            *deadline > now
        });
    }
    assigned
}

#[test]
fn an_upstream_that_hangs_gets_almost_nothing() {
    let mut model = Model::new();

    // The dispatcher first has to notice the hanging tasks, so these don't count.
    run_with_a_hanging_upstream(&mut model, 2, 400);
    let later = run_with_a_hanging_upstream(&mut model, 2, 4_000);

    let share = f64::from(later[2]) / f64::from(later.iter().sum::<i32>());
    assert!(share <= 0.02, "{later:?}");
}

#[test]
fn a_class_that_fails_everywhere_does_not_empty_the_fleet() {
    let mut model = Model::new();

    run_with_a_failing_upstream(&mut model, &[0, 1, 2, 3, 4], 500);

    let ejected =
        model.dispatcher.upstreams().filter(|upstream| upstream.health.is_ejected()).count();
    assert!(ejected <= MAX_EJECTED, "{ejected} of {UPSTREAMS} are ejected");
}
