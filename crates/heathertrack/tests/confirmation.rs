//! When a host takes its configuration for the newest one.

use heathertrack::clock::Time;
use heathertrack::membership::{Confirmation, MAX_CONFIRMATION_WAIT, Standing};
use std::time::Duration;

/// Time within which a configuration has to be in force.
const MAX_AGE: Duration = Duration::from_secs(2);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns the state of a host to which the store has confirmed the configuration at a time.
fn confirmed(ms: u64) -> Confirmation {
    let mut confirmation = Confirmation::new(MAX_AGE);
    confirmation.confirm(at(ms));
    confirmation
}

#[test]
fn a_configuration_is_current_until_a_newer_one_has_to_be_in_force() {
    let mut confirmation = confirmed(1_000);

    assert_eq!(confirmation.check(at(3_000)), Standing::Current);
    assert_eq!(confirmation.check(at(3_001)), Standing::Ask);
}

#[test]
fn the_store_is_asked_once_and_its_answer_awaited_for_a_moment() {
    let mut confirmation = confirmed(1_000);
    let until = at(5_000) + MAX_CONFIRMATION_WAIT;

    let standings = [5_000, 5_000, 5_099, 5_100, 60_000].map(|ms| confirmation.check(at(ms)));

    let wait = Standing::Wait(until);
    assert_eq!(standings, [Standing::Ask, wait, wait, Standing::Outdated, Standing::Outdated]);
}

/// A process that was suspended reads the answer to an earlier call first.
#[test]
fn an_answer_from_before_confirms_nothing_now() {
    let mut confirmation = confirmed(1_000);
    confirmation.check(at(9_000));

    confirmation.confirm(at(1_700));
    let before = confirmation.check(at(9_001));
    confirmation.confirm(at(9_002));
    let after = confirmation.check(at(9_005));
    confirmation.confirm(at(4_000));
    let late = confirmation.check(at(9_006));

    assert!(matches!(before, Standing::Wait(_)));
    assert_eq!(after, Standing::Current);
    assert_eq!(late, Standing::Current);
}

#[test]
fn the_store_is_asked_again_after_a_confirmation_or_a_suspension() {
    let mut confirmed_again = confirmed(1_000);
    confirmed_again.check(at(5_000));
    confirmed_again.confirm(at(5_010));
    confirmed_again.check(at(5_011));
    let mut suspended = confirmed(1_000);
    suspended.check(at(5_000));
    suspended.on_resume();

    assert_eq!(confirmed_again.check(at(9_000)), Standing::Ask);
    assert_eq!(suspended.check(at(9_000)), Standing::Ask);
}

#[test]
fn a_host_without_a_confirmation_asks_for_one() {
    let mut confirmation = Confirmation::new(MAX_AGE);

    assert_eq!(confirmation.age(at(10)), None);
    assert_eq!(confirmation.check(at(10)), Standing::Ask);
}

/// A host that the store turns away serves the routes that it knows.
#[test]
fn a_host_is_starved_if_no_failure_of_the_store_explains_its_outdated_configuration() {
    let confirmation = confirmed(1_000);
    let failed = Some(at(1_500));
    let failed_before = Some(at(900));

    assert!(!confirmation.is_starved(None, at(4_000)), "the store may be slow");
    assert!(confirmation.is_starved(None, at(4_001)));
    assert!(confirmation.is_starved(failed_before, at(4_001)));
    assert!(!confirmation.is_starved(failed, at(60_000)));
    assert!(!Confirmation::new(MAX_AGE).is_starved(None, at(60_000)), "it has just started");
}
