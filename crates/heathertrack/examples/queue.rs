//! Queued tasks are assigned to upstreams as slots become free. Here two upstreams run one task at
//! a time each, so one of three tasks has to wait.

use heathertrack::clock::Time;
use heathertrack::dispatch::{Dispatcher, Finish, Needs, Options, Spec, Task};
use heathertrack::name::{Class, Customer, Upstream};
use std::time::Duration;

fn upstream(name: &str) -> Spec {
    Spec {
        name: Upstream::new(name),
        address: "127.0.0.1:9001".to_owned(),
        slots: 1,
        connections: 64,
        size: Needs { cores: 16, memory_mb: 32_768, accelerators: 0 },
        leaving: false,
    }
}

/// Returns the only task of a job, with this declared run time.
fn task(declared_ms: u64) -> Task {
    let declared = Duration::from_millis(declared_ms);
    Task {
        customer: Customer::new("kadriorg-crafts"),
        class: Class::new("cut-plan"),
        worth: 1.0,
        arrived: Time::ZERO,
        deadline: Time::from_millis(10_000),
        declared,
        needs: Needs::default(),
        job_longest: declared,
        job_work: declared,
    }
}

fn main() {
    let now = Time::ZERO;
    let mut dispatcher = Dispatcher::new(Options::default());
    // The predicate says which upstreams this dispatcher owns.
    dispatcher.update(&[upstream("u1"), upstream("u2")], |_| true, now);
    for (name, declared_ms) in [("long", 900), ("short", 50), ("middle", 200)] {
        dispatcher.enqueue(task(declared_ms), name, now).expect("failed to enqueue the task");
    }
    let first = dispatcher.assign(now);
    for assignment in &first {
        println!("{} goes to {}", assignment.payload, assignment.upstream);
    }
    println!("{} queued", dispatcher.queued_count());
    // The first assigned task ends after 50 ms, which frees the slot for the queued one.
    let done = Time::from_millis(50);
    dispatcher.finish(first[0].run, Finish::Succeeded, done);
    for assignment in dispatcher.assign(done) {
        println!("{} goes to {}", assignment.payload, assignment.upstream);
    }
    assert_eq!(dispatcher.queued_count(), 0);
}
