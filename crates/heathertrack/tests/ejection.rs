//! Upstreams are ejected for what they do to everyone, not for tasks that fail wherever they run.

use heathertrack::clock::Time;
use heathertrack::dispatch::{Assignment, Dispatcher, Finish, Needs, Options, Spec, Task};
use heathertrack::name::{Class, Customer, Upstream};
use std::collections::BTreeSet;
use std::time::Duration;

const UPSTREAMS: usize = 6;
/// Upstreams that may be ejected at once: 34% of six, rounded down.
const MAX_EJECTED: usize = 2;
/// Time between two steps, in each of which all running tasks end.
const STEP: Duration = Duration::from_millis(10);

/// A customer whose tasks fail wherever they run, and whose tasks are worth least.
const BROKEN: &str = "broken";
const SOUND: &str = "sound";

fn spec(index: usize) -> Spec {
    Spec {
        name: Upstream::new(format!("u{index}")),
        address: format!("127.0.0.1:{index}"),
        slots: 2,
        connections: 64,
        size: Needs { cores: 16, memory_mb: 32_768, accelerators: 0 },
        leaving: false,
    }
}

fn dispatcher() -> Dispatcher<&'static str> {
    let mut dispatcher = Dispatcher::new(Options::default());
    let specs: Vec<Spec> = (0..UPSTREAMS).map(spec).collect();
    dispatcher.update(&specs, |_| true, Time::ZERO);
    dispatcher
}

fn enqueue(dispatcher: &mut Dispatcher<&'static str>, customer: &'static str, now: Time) {
    let declared = Duration::from_millis(50);
    let task = Task {
        customer: Customer::new(customer),
        class: Class::new("cut-plan"),
        worth: if customer == BROKEN { 1.0 } else { 2.0 },
        arrived: now,
        deadline: now + Duration::from_secs(60),
        declared,
        needs: Needs { cores: 1, memory_mb: 1, accelerators: 0 },
        job_longest: declared,
        job_work: declared,
    };
    dispatcher.enqueue(task, customer, now).expect("the queue is not full");
}

fn ejected(dispatcher: &Dispatcher<&'static str>) -> BTreeSet<String> {
    let ejected = dispatcher.upstreams().filter(|upstream| upstream.health.is_ejected());
    ejected.map(|upstream| upstream.spec.name.to_string()).collect()
}

/// Runs a number of steps from `now`. In each, a task of each of these customers is queued, and all
/// tasks that start end at once: those of [`BROKEN`] and those on the upstreams `faulty` fail.
/// Returns the time, and the number of ejections.
fn run(
    dispatcher: &mut Dispatcher<&'static str>,
    customers: &[&'static str],
    faulty: &[&str],
    mut now: Time,
    steps: usize,
) -> (Time, usize) {
    let mut ejections = 0;
    for _ in 0..steps {
        for customer in customers {
            enqueue(dispatcher, customer, now);
        }
        for Assignment { run, upstream, payload, .. } in dispatcher.assign(now) {
            let fails = payload == BROKEN || faulty.contains(&upstream.as_str());
            let finish = if fails { Finish::Failed } else { Finish::Succeeded };
            ejections += usize::from(dispatcher.finish(run, finish, now));
        }
        now = now + STEP;
    }
    (now, ejections)
}

#[test]
fn a_customer_that_fails_everywhere_ejects_no_upstream() {
    let mut dispatcher = dispatcher();
    let customers = [BROKEN, BROKEN, BROKEN, BROKEN, SOUND];

    let (_, ejections) = run(&mut dispatcher, &customers, &[], Time::ZERO, 1_000);

    assert_eq!((ejections, ejected(&dispatcher)), (0, BTreeSet::new()));
}

#[test]
fn a_customer_that_fails_everywhere_keeps_no_upstream_ejected() {
    let mut dispatcher = dispatcher();
    let (now, _) = run(&mut dispatcher, &[SOUND, SOUND, SOUND], &["u1"], Time::ZERO, 20);
    let before = ejected(&dispatcher);

    // The upstream works again; its first probe task is due a second after its ejection.
    run(&mut dispatcher, &[BROKEN, BROKEN, BROKEN, BROKEN, SOUND], &[], now, 300);

    assert_eq!(before, BTreeSet::from(["u1".to_owned()]));
    assert_eq!(ejected(&dispatcher), BTreeSet::new());
}

#[test]
fn upstreams_that_fail_everyone_are_ejected_beside_a_customer_that_fails_everywhere() {
    for customers in [&[SOUND][..], &[SOUND; 4], &[SOUND, BROKEN, SOUND, BROKEN, SOUND, SOUND]] {
        let mut dispatcher = dispatcher();

        run(&mut dispatcher, customers, &["u1", "u4"], Time::ZERO, 200);

        let expected: BTreeSet<String> = ["u1", "u4"].map(str::to_owned).into();
        assert_eq!(expected.len(), MAX_EJECTED);
        assert_eq!(ejected(&dispatcher), expected, "{customers:?}");
    }
}
