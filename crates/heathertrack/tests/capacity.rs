//! Sums over upstreams of extreme capacity.

use heathertrack::clock::Time;
use heathertrack::name::{DataCentre, Upstream};
use heathertrack::pool::job::{Id, Needs, Request, Step};
use heathertrack::pool::upstream::Record;
use heathertrack::pool::{Effect, Listing, Options, Pool};
use std::time::Duration;

fn record(name: &str) -> Record {
    Record {
        name: Upstream::new(name),
        address: "10.0.0.1:80".into(),
        service: "service".into(),
        data_centre: DataCentre::new("a"),
        capacity: Needs { cpu: u32::MAX, memory: u32::MAX, accelerators: u32::MAX },
        labels: Vec::new(),
        draining: false,
        started_ms: Some(1),
    }
}

/// Returns a job of two tasks that need one thousandth of a core each.
fn job() -> Request {
    let needs = Needs { cpu: 1, memory: u32::MAX, accelerators: u32::MAX };
    let estimate = Duration::from_millis(200);
    Request {
        id: Id::new("a"),
        spec: "".into(),
        class: "class".into(),
        service: "service".into(),
        priority: 0,
        max_attempts: 2,
        steps: vec![Step { count: 2, needs, estimate, ..Step::default() }],
        received: Time::from_millis(100),
        objective: Duration::from_millis(380),
        deadline: Time::from_millis(2_000),
    }
}

/// The number of free slots exceeds the largest integer.
#[test]
fn load_of_two_upstreams_of_extreme_capacity_is_bounded() {
    let now = Time::from_millis(100);
    let mut pool = Pool::new(Options::default());
    for name in ["i-0", "i-1"] {
        pool.update_upstream(record(name), true, now);
    }
    let listing = Listing { clock_ms: 5_000, started_ms: 1, ..Listing::default() };
    for effect in pool.take_effects() {
        if let Effect::Poll { upstream, .. } = effect {
            pool.on_poll_answer(upstream, &listing, now, now);
        }
    }

    pool.submit(job(), now);

    let starts = pool.take_effects().into_iter();
    assert_eq!(starts.filter(|effect| matches!(effect, Effect::Start { .. })).count(), 2);
    let load = pool.load(now);
    assert_eq!(load.free_slots, u32::MAX);
    assert!(load.cores.is_finite() && load.cores > 0.0);
}
