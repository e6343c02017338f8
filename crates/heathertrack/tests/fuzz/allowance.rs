//! Promise 7: at every instant, the concurrent tasks and the starts per second of a customer stay
//! within its allowance, added up over all hosts.

mod event;
mod node;
mod pool;

use crate::harness::{Effort, check, check_caught};
use event::Event;
use node::Allowed;
use pool::{Missing, Pool};
use quickcheck::TestResult;

const EFFORT: Effort = Effort { length: 150, cases: 200 };
/// Allowance in which concurrent tasks are the limit.
const FEW_TASKS: Allowed = Allowed { tasks: 12, rate: 1_000.0, burst: 100.0 };
/// Allowance in which starts per second are the limit.
const FEW_STARTS: Allowed = Allowed { tasks: 500, rate: 40.0, burst: 20.0 };

fn holds(events: &[Event], missing: Missing) -> TestResult {
    for allowed in [FEW_TASKS, FEW_STARTS] {
        let mut pool = Pool::new(allowed, missing);
        for event in events {
            if let Err(fault) = pool.apply(*event) {
                return TestResult::error(fault);
            }
        }
    }
    TestResult::passed()
}

#[test]
fn tasks_and_starts_stay_within_the_allowance() {
    fn property(events: Vec<Event>) -> TestResult {
        holds(&events, Missing::Nothing)
    }
    check(EFFORT, property as fn(Vec<Event>) -> TestResult);
}

#[test]
fn without_quiet_time_inherited_seats_exceed_the_allowance() {
    fn property(events: Vec<Event>) -> TestResult {
        holds(&events, Missing::Quiet)
    }
    check_caught(EFFORT, property as fn(Vec<Event>) -> TestResult);
}

#[test]
fn without_the_end_of_loans_the_allowance_is_exceeded() {
    fn property(events: Vec<Event>) -> TestResult {
        holds(&events, Missing::LoanEnd)
    }
    check_caught(EFFORT, property as fn(Vec<Event>) -> TestResult);
}

#[test]
fn without_noticing_a_pause_lost_seats_are_used() {
    let others_use_all = (1..4).map(|host| Event::Start { host, count: 12, ms: 900 });
    let mut events = vec![Event::Round, Event::Round, Event::Round, Event::Unlist { host: 0 }];
    events.extend([Event::Round, Event::Advance(1_300), Event::Round]);
    events.extend(others_use_all);
    events.push(Event::Freeze { host: 0, frozen: false });
    events.push(Event::Start { host: 0, count: 12, ms: 900 });

    let with = holds(&events, Missing::Nothing);
    let without = holds(&events, Missing::PauseCheck);

    assert!(!with.is_failure(), "{with:?}");
    assert!(without.is_failure());
}

#[test]
fn without_waiting_for_use_to_fit_released_seats_exceed_the_allowance() {
    fn property(events: Vec<Event>) -> TestResult {
        holds(&events, Missing::Fit)
    }
    check_caught(EFFORT, property as fn(Vec<Event>) -> TestResult);
}
