//! Promises 1 to 3: each task starts at most once, a job has a single complete answer, and "not
//! run" is true.

use crate::harness::{FuzzConfig, check, check_falsified};
use crate::world::{Disabled, Event, World};
use quickcheck::TestResult;

const CONFIG: FuzzConfig = FuzzConfig { length: 160, cases: 1_500 };

/// Checks that the events break no guarantee.
fn holds(events: &[Event], disabled: Disabled) -> TestResult {
    let mut world = World::new(disabled);
    for event in events {
        if let Err(fault) = world.apply(*event) {
            return TestResult::error(fault);
        }
    }
    TestResult::passed()
}

#[test]
fn a_key_starts_at_most_once_and_not_run_is_true() {
    fn property(events: Vec<Event>) -> TestResult {
        holds(&events, Disabled::Nothing)
    }
    check(CONFIG, property as fn(Vec<Event>) -> TestResult);
}

#[test]
fn without_the_incarnation_check_a_key_starts_twice() {
    fn property(events: Vec<Event>) -> TestResult {
        holds(&events, Disabled::IncarnationCheck)
    }
    check_falsified(CONFIG, property as fn(Vec<Event>) -> TestResult);
}

#[test]
fn without_reading_a_claim_back_after_a_lost_response_a_key_starts_twice() {
    fn property(events: Vec<Event>) -> TestResult {
        holds(&events, Disabled::ClaimReadBack)
    }
    check_falsified(CONFIG, property as fn(Vec<Event>) -> TestResult);
}

#[test]
fn without_retention_a_forgotten_key_starts_twice() {
    fn property(events: Vec<Event>) -> TestResult {
        holds(&events, Disabled::Retention)
    }
    check_falsified(CONFIG, property as fn(Vec<Event>) -> TestResult);
}

#[test]
fn without_the_handover_tracker_a_started_job_is_reported_as_not_run() {
    fn property(events: Vec<Event>) -> TestResult {
        holds(&events, Disabled::HandoverTracker)
    }
    check_falsified(CONFIG, property as fn(Vec<Event>) -> TestResult);
}

/// Found with seed 260: the ticket had expired before the clock of the host that took over the
/// records started. The expiry was clamped to the first instant of that clock, at which the ticket
/// was accepted again.
#[test]
fn a_ticket_that_expired_before_its_successor_started_is_not_accepted() {
    let resubmitted_after_expiry = [
        Event::Issue { host: 1 },
        Event::Cancel { key: 0, host: 1 },
        Event::Step { submission: 0, lost: false },
        Event::Step { submission: 0, lost: false },
        Event::Advance(1_038),
        Event::Expire { host: 1 },
        Event::Restart { host: 0, skew_ms: 0 },
        Event::Submit { key: 0, host: 0, body: 0 },
        Event::Stop { host: 1, to: 0, lost: false },
        Event::Step { submission: 0, lost: false },
        Event::Step { submission: 0, lost: false },
        Event::Start { job: 0 },
    ];

    let result = holds(&resubmitted_after_expiry, Disabled::Nothing);

    assert!(!result.is_failure(), "{result:?}");
}

/// Found with seed 2048: a host whose clock was far behind refused a key as minted in the future
/// and reported it as not run, although another host had accepted and started it.
#[test]
fn a_key_ahead_of_one_clock_is_not_reported_as_not_run() {
    let refused_after_start = [
        Event::StepClock { host: 0, ms: 23 },
        Event::Mint { host: 0, ago_ms: 1 },
        Event::Restart { host: 1, skew_ms: -34 },
        Event::StepClock { host: 1, ms: -35 },
        Event::Submit { key: 0, host: 0, body: 0 },
        Event::Step { submission: 0, lost: false },
        Event::Step { submission: 0, lost: false },
        Event::Step { submission: 0, lost: false },
        Event::Start { job: 0 },
        Event::Submit { key: 0, host: 1, body: 0 },
        Event::Step { submission: 1, lost: false },
    ];

    let result = holds(&refused_after_start, Disabled::Nothing);

    assert!(!result.is_failure(), "{result:?}");
}

/// The clock of the host that takes over the records is as far behind as the skew allows. By the
/// clock of the stopped process, the record may be removed at a time at which the successor still
/// accepts the key.
#[test]
fn a_successor_whose_clock_is_behind_keeps_records_long_enough() {
    let submitted_to_both = [
        Event::Restart { host: 0, skew_ms: 39 },
        Event::StepClock { host: 0, ms: 39 },
        Event::Restart { host: 1, skew_ms: -39 },
        Event::StepClock { host: 1, ms: -39 },
        Event::Mint { host: 1, ago_ms: 0 },
        Event::Submit { key: 0, host: 0, body: 0 },
        Event::Step { submission: 0, lost: false },
        Event::Step { submission: 0, lost: false },
        Event::Step { submission: 0, lost: false },
        Event::Start { job: 0 },
        Event::End { job: 0 },
        Event::Stop { host: 0, to: 1, lost: false },
        Event::Advance(930),
        Event::Expire { host: 1 },
        Event::Submit { key: 0, host: 1, body: 0 },
        Event::Step { submission: 1, lost: false },
        Event::Step { submission: 1, lost: false },
        Event::Step { submission: 1, lost: false },
        Event::Start { job: 1 },
    ];

    let result = holds(&submitted_to_both, Disabled::Nothing);

    assert!(!result.is_failure(), "{result:?}");
}
