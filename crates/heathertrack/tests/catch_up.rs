//! When a host that is behind asks its peers for newer items.

use heathertrack::clock::Time;
use heathertrack::membership::CatchUp;

/// Number of requests in one second, in which each of 38 peers announces newer items every 80 ms.
fn requests(catch_up: &mut CatchUp, failing: bool) -> usize {
    let mut requests = 0;
    for round in 0..12 {
        for peer in 0..38 {
            let near = peer < 8;
            let now = Time::from_millis(round * 80 + peer);
            requests += usize::from(catch_up.should_ask(failing, near, now));
        }
    }
    requests
}

#[test]
fn many_newer_peers_are_asked_one_at_a_time() {
    let mut catch_up = CatchUp::default();

    let asked = requests(&mut catch_up, true);

    assert_eq!(asked, 3);
}

#[test]
fn the_store_gets_time_to_deliver_first() {
    let mut catch_up = CatchUp::default();

    assert!(!catch_up.should_ask(false, true, Time::from_millis(0)));
    assert!(!catch_up.should_ask(false, true, Time::from_millis(700)));
    assert!(catch_up.should_ask(false, true, Time::from_millis(900)));
}

#[test]
fn peers_of_the_same_data_centre_are_asked_first() {
    let mut catch_up = CatchUp::default();

    assert!(!catch_up.should_ask(true, false, Time::from_millis(0)));
    assert!(catch_up.should_ask(true, true, Time::from_millis(10)));
}

#[test]
fn catching_up_restarts_the_delay() {
    let mut catch_up = CatchUp::default();
    catch_up.should_ask(false, true, Time::from_millis(0));

    catch_up.mark_caught_up();

    assert!(!catch_up.should_ask(false, true, Time::from_millis(900)));
}
