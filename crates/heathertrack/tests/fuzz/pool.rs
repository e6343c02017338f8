//! The dispatcher of leased runs against emulated upstreams, with orders that are lost, delayed or
//! unanswered. The upstreams never refuse for lack of capacity, so the dispatcher alone has to keep
//! the rules: a task starts only after the steps it depends on, on a permitted upstream, within its
//! capacity and the step's limit of tasks per upstream, never twice at once, and never after its
//! job was reported as not run or cancelled.

mod event;
mod model;
mod upstream;

use crate::harness::{FuzzConfig, check, check_falsified};
use event::Event;
use heathertrack::pool::Options;
use model::Model;
use quickcheck::TestResult;

/// Up to 300 events a case, and 250 cases a seed.
const CONFIG: FuzzConfig = FuzzConfig { length: 300, cases: 250 };

/// Applies the events, then lets all jobs end. Fails at the first broken rule.
fn holds_with(options: Options, events: Vec<Event>) -> TestResult {
    let mut model = Model::new(options);
    for event in events {
        if let Err(error) = model.apply(event) {
            return TestResult::error(error);
        }
    }
    match model.settle() {
        Ok(()) => TestResult::passed(),
        Err(error) => TestResult::error(error),
    }
}

fn holds(events: Vec<Event>) -> TestResult {
    holds_with(Options::default(), events)
}

#[test]
fn tasks_start_only_when_and_where_they_may() {
    check(CONFIG, holds as fn(Vec<Event>) -> TestResult);
}

/// Shows that the property detects a task that runs twice at once.
#[test]
fn without_stops_after_lost_starts_tasks_run_twice() {
    fn property(events: Vec<Event>) -> TestResult {
        holds_with(Options { stop_unanswered_starts: false, ..Options::default() }, events)
    }
    check_falsified(CONFIG, property as fn(Vec<Event>) -> TestResult);
}
