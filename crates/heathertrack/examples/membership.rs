//! Membership: which hosts accept work, which of them serves each upstream, and which process holds
//! the records of one that has stopped.

use heathertrack::clock::Time;
use heathertrack::membership::{Heartbeat, ListedHost, Successions, View, rendezvous};
use heathertrack::name::{DataCentre, Host};
use heathertrack::ticket::{Home, Incarnation};
use std::time::Duration;

fn home(host: &str, incarnation: u64) -> Home {
    Home {
        data_centre: DataCentre::new("ee-north-1"),
        host: Host::new(host),
        incarnation: Incarnation(incarnation),
    }
}

fn entry(host: &str) -> ListedHost {
    ListedHost {
        host: Host::new(host),
        data_centre: DataCentre::new("ee-north-1"),
        address: "127.0.0.1:7101".to_owned(),
        leaving: false,
    }
}

fn main() {
    // The view of host e1. Another host is unresponsive after one second without a heartbeat.
    let mut view = View::new(home("e1", 1), Duration::from_secs(1));
    view.update([entry("e1"), entry("e2"), entry("e3")]);
    // Only e2 sends a heartbeat, so e3 gets no work.
    let heartbeat = Heartbeat { incarnation: Incarnation(2), draining: false, operators: None };
    view.record_heartbeat(&Host::new("e2"), heartbeat, Time::ZERO);
    let hosts = view.accepting_hosts(Time::ZERO);
    println!("hosts that accept work: {hosts:?}");
    for upstream in ["u1", "u2", "u3", "u4"] {
        let owner = rendezvous(&format!("upstream/{upstream}"), &hosts);
        println!("{upstream} is served by {owner:?}");
    }

    // e3 hands its records over to e2, which later hands all of its records over to e1. Each
    // succession is kept for ten minutes.
    let mut successions = Successions::new(Duration::from_secs(600));
    successions.record(home("e3", 3), home("e2", 2), Time::ZERO);
    successions.record(home("e2", 2), home("e1", 1), Time::ZERO);
    let current = successions.current(&home("e3", 3));
    println!("the records of e3 are at {}", current.host);
    assert_eq!(current, home("e1", 1));
}
