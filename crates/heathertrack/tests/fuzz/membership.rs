//! A membership change moves only the roles of the hosts concerned, and successions always resolve.

use crate::harness::{FuzzConfig, check};
use heathertrack::clock::Time;
use heathertrack::membership::{Heartbeat, HostState, ListedHost, Successions, View, rendezvous};
use heathertrack::name::{DataCentre, Host};
use heathertrack::ticket::{Home, Incarnation};
use quickcheck::TestResult;
use std::time::Duration;

const CONFIG: FuzzConfig = FuzzConfig { length: 40, cases: 500 };

fn hosts(numbers: impl IntoIterator<Item = u8>) -> Vec<Host> {
    numbers.into_iter().map(|number| Host::new(format!("e{number}"))).collect()
}

fn home(number: u8) -> Home {
    Home {
        data_centre: DataCentre::new("ee-north-1"),
        host: Host::new(format!("e{number}")),
        incarnation: Incarnation(u64::from(number)),
    }
}

#[test]
fn a_host_that_leaves_moves_only_its_own_roles() {
    fn property(numbers: Vec<u8>, leaving: usize, roles: Vec<u16>) -> TestResult {
        if numbers.is_empty() {
            return TestResult::discard();
        }
        let all = hosts(numbers.clone());
        let left = all[leaving % all.len()].clone();
        let rest: Vec<Host> = all.iter().filter(|host| **host != left).cloned().collect();
        for role in roles {
            let role = format!("upstream/{role}");
            let before = rendezvous(&role, &all);
            let after = rendezvous(&role, &rest);
            if before != Some(&left) && before != after {
                return TestResult::error(format!("{role} moved from {before:?} to {after:?}"));
            }
        }
        TestResult::passed()
    }
    check(CONFIG, property as fn(Vec<u8>, usize, Vec<u16>) -> TestResult);
}

#[test]
fn roles_are_spread_over_the_hosts() {
    let hosts = hosts(0..3);
    let held = |host: &Host| {
        (0..300).filter(|n| rendezvous(&format!("upstream/u{n}"), &hosts) == Some(host)).count()
    };

    for host in &hosts {
        // An even spread gives each host 100.
        assert!((70..=130).contains(&held(host)), "{host} holds {} of 300", held(host));
    }
}

#[test]
fn successions_resolve_for_any_input() {
    fn property(pairs: Vec<(u8, u8)>) -> TestResult {
        let mut successions = Successions::new(Duration::from_secs(1));
        for (from, to) in pairs {
            successions.record(home(from % 6), home(to % 6), Time::ZERO);
        }
        // A corrupted message could contain a cycle. Only the termination is checked.
        (0..6).for_each(|number| drop(successions.current(&home(number))));
        TestResult::passed()
    }
    check(CONFIG, property as fn(Vec<(u8, u8)>) -> TestResult);
}

#[test]
fn a_late_heartbeat_of_an_earlier_process_changes_nothing() {
    let mut view = View::new(home(0), Duration::from_secs(1));
    let peer = Host::new("e1");
    let entry = ListedHost {
        host: peer.clone(),
        data_centre: DataCentre::new("ee-north-1"),
        address: "127.0.0.1:1".to_owned(),
        leaving: false,
    };
    view.update([entry]);
    let heartbeat = |incarnation| Heartbeat {
        incarnation: Incarnation(incarnation),
        draining: false,
        operators: None,
    };

    view.record_heartbeat(&peer, heartbeat(5), Time::ZERO);
    view.record_heartbeat(&peer, Heartbeat { draining: true, ..heartbeat(4) }, Time::ZERO);

    assert_eq!(view.incarnation(&peer), Some(Incarnation(5)));
    assert_eq!(view.state(&peer, Time::ZERO), HostState::Alive);
    assert_eq!(view.state(&peer, Time::from_millis(1_001)), HostState::Unresponsive);
}
