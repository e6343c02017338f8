//! Membership: live hosts, assignment of upstreams to hosts, and takeovers of records.

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
    let mut view = View::new(home("e1", 1), Duration::from_secs(1));
    view.update([entry("e1"), entry("e2"), entry("e3")]);
    let heartbeat = Heartbeat { incarnation: Incarnation(2), draining: false, operators: None };
    view.record_heartbeat(&Host::new("e2"), heartbeat, Time::ZERO);
    let accepting_hosts = view.accepting_hosts(Time::ZERO);
    println!("hosts that accept work: {accepting_hosts:?}");
    for upstream in ["u1", "u2", "u3", "u4"] {
        let owner = rendezvous(&format!("upstream/{upstream}"), &accepting_hosts);
        println!("{upstream} is served by {owner:?}");
    }

    let mut successions = Successions::new(Duration::from_secs(600));
    successions.record(home("e3", 3), home("e2", 2), Time::ZERO);
    successions.record(home("e2", 2), home("e1", 1), Time::ZERO);
    let current = successions.current(&home("e3", 3));
    println!("the records of e3 are at {}", current.host);
    assert_eq!(current, home("e1", 1));
}
