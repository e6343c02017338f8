//! The dispatcher of leased runs against emulated upstreams, with orders that are lost, delayed or
//! unanswered. The upstreams never refuse for lack of capacity, so the dispatcher alone has to keep
//! the rules: a task starts only after the steps it depends on, on a permitted upstream, within its
//! capacity and the step's limit of tasks per upstream, never twice at once, and never after its
//! job was reported as not run or cancelled. It renews leases only while it follows each run that they
//! cover.

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
fn run(mut model: Model, events: Vec<Event>) -> Result<(), String> {
    events.into_iter().try_for_each(|event| model.apply(event))?;
    model.settle()
}

fn holds(events: Vec<Event>) -> TestResult {
    match run(Model::new(Options::default()), events) {
        Ok(()) => TestResult::passed(),
        Err(error) => TestResult::error(error),
    }
}

/// Returns options with which a run whose start got no answer is forgotten.
fn without_stops() -> Options {
    Options { stop_unanswered_starts: false, ..Options::default() }
}

#[test]
fn tasks_start_only_when_and_where_they_may() {
    check(CONFIG, holds as fn(Vec<Event>) -> TestResult);
}

/// Shows that the property detects a task that runs twice at once.
#[test]
fn without_stops_after_lost_starts_tasks_run_twice() {
    fn property(events: Vec<Event>) -> TestResult {
        let model = Model::new(without_stops()).without_renewal_check();
        run(model, events).map_or_else(TestResult::error, |()| TestResult::passed())
    }
    check_falsified(CONFIG, property as fn(Vec<Event>) -> TestResult);
}

/// Shows that the property detects a renewal that covers a run which was forgotten.
#[test]
fn without_stops_after_lost_starts_leases_of_unknown_runs_are_renewed() {
    fn property(events: Vec<Event>) -> TestResult {
        let result = run(Model::new(without_stops()), events);
        TestResult::from_bool(!result.is_err_and(|error| error.contains("nobody follows")))
    }
    check_falsified(CONFIG, property as fn(Vec<Event>) -> TestResult);
}
