//! When a host that is behind asks its peers for newer items.

use heathertrack::clock::Time;
use heathertrack::membership::CatchUp;

/// Number of requests in one second, in which each of 38 peers announces newer items every 80 ms.
fn questions(catch_up: &mut CatchUp, failing: bool) -> usize {
    let mut questions = 0;
    for round in 0..12 {
        for peer in 0..38 {
            let near = peer < 8;
            let now = Time::from_millis(round * 80 + peer);
            questions += usize::from(catch_up.asks(failing, near, now));
        }
    }
    questions
}

#[test]
fn a_storm_of_newer_peers_is_asked_by_ones() {
    let mut catch_up = CatchUp::default();

    let asked = questions(&mut catch_up, true);

    assert_eq!(asked, 3);
}

#[test]
fn the_store_is_given_time_first() {
    let mut catch_up = CatchUp::default();

    assert!(!catch_up.asks(false, true, Time::from_millis(0)));
    assert!(!catch_up.asks(false, true, Time::from_millis(700)));
    assert!(catch_up.asks(false, true, Time::from_millis(900)));
}

#[test]
fn the_own_data_centre_is_asked_first() {
    let mut catch_up = CatchUp::default();

    assert!(!catch_up.asks(true, false, Time::from_millis(0)));
    assert!(catch_up.asks(true, true, Time::from_millis(10)));
}

#[test]
fn what_is_reached_starts_the_patience_anew() {
    let mut catch_up = CatchUp::default();
    catch_up.asks(false, true, Time::from_millis(0));

    catch_up.reached();

    assert!(!catch_up.asks(false, true, Time::from_millis(900)));
}
