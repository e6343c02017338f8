//! Promise 7: at every instant, the concurrent tasks and the starts per second of a customer stay
//! within its allowance, added up over all hosts.

mod cluster;
mod event;
mod node;

use crate::harness::{FuzzConfig, check, check_falsified};
use cluster::{Cluster, Disabled};
use event::Event;
use node::Allowance;
use quickcheck::TestResult;

const CONFIG: FuzzConfig = FuzzConfig { length: 150, cases: 200 };
/// Allowance in which concurrent tasks are the limit.
const FEW_TASKS: Allowance = Allowance { tasks: 12, rate: 1_000.0, burst: 100.0 };
/// Allowance in which starts per second are the limit.
const FEW_STARTS: Allowance = Allowance { tasks: 500, rate: 40.0, burst: 20.0 };

/// Checks that the events never exceed either allowance.
fn holds(events: &[Event], disabled: Disabled) -> TestResult {
    for allowance in [FEW_TASKS, FEW_STARTS] {
        let mut cluster = Cluster::new(allowance, disabled);
        for event in events {
            if let Err(fault) = cluster.apply(*event) {
                return TestResult::error(fault);
            }
        }
    }
    TestResult::passed()
}

#[test]
fn tasks_and_starts_stay_within_the_allowance() {
    fn property(events: Vec<Event>) -> TestResult {
        holds(&events, Disabled::Nothing)
    }
    check(CONFIG, property as fn(Vec<Event>) -> TestResult);
}

#[test]
fn without_the_quiet_period_inherited_seats_exceed_the_allowance() {
    fn property(events: Vec<Event>) -> TestResult {
        holds(&events, Disabled::QuietPeriod)
    }
    check_falsified(CONFIG, property as fn(Vec<Event>) -> TestResult);
}

#[test]
fn without_the_expiry_of_loans_the_allowance_is_exceeded() {
    fn property(events: Vec<Event>) -> TestResult {
        holds(&events, Disabled::LoanExpiry)
    }
    check_falsified(CONFIG, property as fn(Vec<Event>) -> TestResult);
}

#[test]
fn without_the_pause_check_lost_seats_are_used() {
    // Host 0 is frozen until the others have taken its seats and use them.
    let others_use_all = (1..4).map(|host| Event::Start { host, count: 12, ms: 900 });
    let mut events = vec![
        Event::ReconcileAll,
        Event::ReconcileAll,
        Event::ReconcileAll,
        Event::DeclareGone { host: 0 },
    ];
    events.extend([Event::ReconcileAll, Event::Advance(1_300), Event::ReconcileAll]);
    events.extend(others_use_all);
    events.push(Event::Freeze { host: 0, frozen: false });
    events.push(Event::Start { host: 0, count: 12, ms: 900 });

    let with = holds(&events, Disabled::Nothing);
    let without = holds(&events, Disabled::PauseCheck);

    assert!(!with.is_failure(), "{with:?}");
    assert!(without.is_failure());
}

#[test]
fn without_the_usage_check_released_seats_exceed_the_allowance() {
    fn property(events: Vec<Event>) -> TestResult {
        holds(&events, Disabled::UsageCheck)
    }
    check_falsified(CONFIG, property as fn(Vec<Event>) -> TestResult);
}
