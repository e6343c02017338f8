//! Records that contradict what an upstream has answered.

use heathertrack::clock::Time;
use heathertrack::name::{DataCentre, Upstream};
use heathertrack::pool::job::Needs;
use heathertrack::pool::upstream::Record;
use heathertrack::pool::{Effect, Listing, Options, PollFailure, Pool, UpstreamKey};

fn record(address: &str, started_ms: Option<u64>) -> Record {
    Record {
        name: Upstream::new("i-0"),
        address: address.into(),
        service: "service".into(),
        data_centre: DataCentre::new("a"),
        capacity: Needs { cpu: 16_000, memory: 1_000, accelerators: 0 },
        labels: Vec::new(),
        draining: false,
        started_ms,
    }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns a dispatcher whose only upstream has answered at an address, as a process that started at
/// 1 ms.
fn pool() -> (Pool, UpstreamKey) {
    let mut pool = Pool::new(Options::default());
    pool.update_upstream(record("10.0.0.1:80", Some(1)), true, at(0));
    let mut upstream = None;
    for effect in pool.take_effects() {
        if let Effect::Poll { upstream: key, .. } = effect {
            let listing = Listing { clock_ms: 5_000, started_ms: 1, ..Listing::default() };
            pool.on_poll_answer(key, &listing, at(0), at(1));
            upstream = Some(key);
        }
    }
    (pool, upstream.expect("the upstream is polled"))
}

fn polls(effects: &[Effect]) -> Vec<UpstreamKey> {
    let poll = |effect: &Effect| match effect {
        Effect::Poll { upstream, .. } => Some(*upstream),
        _ => None,
    };
    effects.iter().filter_map(poll).collect()
}

fn address(pool: &Pool, upstream: UpstreamKey) -> String {
    pool.upstream_address(upstream).map(|(_, address)| address).unwrap_or_default()
}

#[test]
fn false_address_of_a_process_that_answered_is_not_used() {
    let (mut pool, upstream) = pool();

    pool.update_upstream(record("10.0.0.2:80", Some(1)), true, at(10));

    assert_eq!(address(&pool, upstream), "10.0.0.1:80");
    assert!(pool.load(at(10)).cores < f64::EPSILON, "nothing is started beside a false record");
    pool.update_upstream(record("10.0.0.1:80", Some(1)), true, at(20));
    assert!(pool.load(at(20)).cores > 0.0);
}

/// Another process answers at a false address, after which live runs would count as lost.
#[test]
fn false_address_with_an_earlier_start_or_none_is_not_used() {
    for started_ms in [None, Some(0)] {
        let (mut pool, upstream) = pool();

        pool.update_upstream(record("10.0.0.2:80", started_ms), true, at(10));

        assert_eq!(address(&pool, upstream), "10.0.0.1:80", "{started_ms:?}");
    }
}

/// The clock of an upstream's host was set back before its process started again, elsewhere.
#[test]
fn address_with_an_earlier_start_is_used_once_the_former_process_is_gone() {
    let (mut pool, _) = pool();
    let restarted = record("10.0.0.2:80", Some(0));
    pool.update_upstream(restarted.clone(), true, at(10));

    // The upstream is polled 5 s after its last answer.
    for ms in (5_000..5_200).step_by(10) {
        for polled in polls(&pool.take_effects()) {
            pool.on_poll_failed(polled, PollFailure::Refused, at(ms));
        }
        pool.tick(at(ms));
    }
    pool.update_upstream(restarted, true, at(5_200));

    let polled = polls(&pool.take_effects());
    let addresses: Vec<String> = polled.iter().map(|key| address(&pool, *key)).collect();
    assert_eq!(addresses, ["10.0.0.2:80"]);
}

#[test]
fn address_of_a_process_that_started_later_is_used() {
    let (mut pool, upstream) = pool();

    pool.update_upstream(record("10.0.0.2:80", Some(2)), true, at(10));

    assert_eq!(address(&pool, upstream), "10.0.0.2:80");
}
