//! What proves that the process which holds seats of the allowances is gone.

use heathertrack::clock::Time;
use heathertrack::membership::{Heartbeat, HostState, ListedHost, View};
use heathertrack::name::{DataCentre, Host};
use heathertrack::share::{GoneDetector, Holder};
use heathertrack::ticket::{Home, Incarnation};
use std::time::Duration;

const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_600);
const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);

fn second(count: u64) -> Time {
    Time::ZERO + Duration::from_secs(count)
}

fn listed(host: &str) -> ListedHost {
    ListedHost {
        host: Host::new(host),
        data_centre: DataCentre::new("a"),
        address: "10.1.0.1:7000".to_owned(),
        leaving: false,
    }
}

fn heartbeat(incarnation: Incarnation) -> Heartbeat {
    Heartbeat { incarnation, draining: false, operators: None }
}

/// Returns the view of a host with the peers `left` and `right`, which have answered once.
fn view() -> View {
    let own =
        Home { data_centre: DataCentre::new("a"), host: Host::new("own"), incarnation: FIRST };
    let mut view = View::new(own, HEARTBEAT_TIMEOUT);
    view.update([listed("left"), listed("right")]);
    view.record_heartbeat(&Host::new("left"), heartbeat(FIRST), Time::ZERO);
    view.record_heartbeat(&Host::new("right"), heartbeat(FIRST), Time::ZERO);
    view
}

fn holder(host: &str) -> Holder {
    Holder { host: Host::new(host), incarnation: FIRST }
}

/// Observes a view once a second, from `from` to `to`.
fn observe(detector: &mut GoneDetector, view: &View, from: u64, to: u64) {
    for count in from..=to {
        detector.observe(view, second(count));
    }
}

#[test]
fn a_host_that_cannot_be_reached_is_not_proved_gone() {
    let (mut view, mut detector) = (view(), GoneDetector::default());

    view.mark_unreachable(&Host::new("left"));
    observe(&mut detector, &view, 0, 3_600);

    assert_eq!(view.state(&Host::new("left"), second(3_600)), HostState::Unresponsive);
    assert!(!detector.proves_gone(&holder("left"), second(3_600)));
    assert!(!detector.proves_gone(&holder("right"), second(3_600)));
}

#[test]
fn a_later_process_of_the_host_proves_the_earlier_one_gone() {
    let (mut view, mut detector) = (view(), GoneDetector::default());
    observe(&mut detector, &view, 0, 1);

    view.record_heartbeat(&Host::new("left"), heartbeat(SECOND), second(2));
    observe(&mut detector, &view, 2, 2);

    assert!(detector.proves_gone(&holder("left"), second(2)));
    let next = Holder { host: Host::new("left"), incarnation: SECOND };
    assert!(!detector.proves_gone(&next, second(2)));
    assert!(!detector.proves_gone(&holder("right"), second(2)));
}

#[test]
fn a_host_that_is_not_listed_for_a_minute_is_proved_gone() {
    let (mut view, mut detector) = (view(), GoneDetector::default());
    observe(&mut detector, &view, 0, 10);

    view.update([listed("right")]);
    observe(&mut detector, &view, 11, 69);
    let before = detector.proves_gone(&holder("left"), second(69));
    observe(&mut detector, &view, 70, 71);

    assert!(!before);
    assert!(detector.proves_gone(&holder("left"), second(71)));
    assert!(!detector.proves_gone(&holder("right"), second(71)));
}
