//! When a host that is behind asks its peers for newer items.

use heathertrack::clock::Time;
use heathertrack::membership::CatchUp;

/// Whether the store is unresponsive.
const STORE_FAILING: bool = true;
/// Whether the peer with newer items is in the same data centre.
const SAME_DATA_CENTRE: bool = true;

/// Number of requests in one second, in which each of 38 peers announces newer items every 80 ms.
/// The first eight peers are in the same data centre.
fn requests(catch_up: &mut CatchUp, store_failing: bool) -> usize {
    let mut requests = 0;
    for round in 0..12 {
        for peer in 0..38 {
            let same_data_centre = peer < 8;
            let now = Time::from_millis(round * 80 + peer);
            requests += usize::from(catch_up.should_ask(store_failing, same_data_centre, now));
        }
    }
    requests
}

#[test]
fn many_newer_peers_are_asked_one_at_a_time() {
    let mut catch_up = CatchUp::default();

    let asked = requests(&mut catch_up, STORE_FAILING);

    // At 0, 400 and 800 ms: at most one request every 400 ms.
    assert_eq!(asked, 3);
}

#[test]
fn the_store_gets_time_to_deliver_first() {
    let mut catch_up = CatchUp::default();

    assert!(!catch_up.should_ask(!STORE_FAILING, SAME_DATA_CENTRE, Time::from_millis(0)));
    assert!(!catch_up.should_ask(!STORE_FAILING, SAME_DATA_CENTRE, Time::from_millis(700)));
    assert!(catch_up.should_ask(!STORE_FAILING, SAME_DATA_CENTRE, Time::from_millis(900)));
}

#[test]
fn peers_of_the_same_data_centre_are_asked_first() {
    let mut catch_up = CatchUp::default();

    assert!(!catch_up.should_ask(STORE_FAILING, !SAME_DATA_CENTRE, Time::from_millis(0)));
    assert!(catch_up.should_ask(STORE_FAILING, SAME_DATA_CENTRE, Time::from_millis(10)));
}

#[test]
fn catching_up_restarts_the_delay() {
    let mut catch_up = CatchUp::default();
    catch_up.should_ask(!STORE_FAILING, SAME_DATA_CENTRE, Time::from_millis(0));

    catch_up.mark_caught_up();

    assert!(!catch_up.should_ask(!STORE_FAILING, SAME_DATA_CENTRE, Time::from_millis(900)));
}
