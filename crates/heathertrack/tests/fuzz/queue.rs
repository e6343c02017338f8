//! Compares the queue with an unsorted list.

use crate::harness::{FuzzConfig, check};
use heathertrack::clock::Time;
use heathertrack::dispatch::{Needs, Objective, Options, Queue, QueueKey, Rank, Shape, Task};
use heathertrack::name::{Class, Customer};
use quickcheck::{Arbitrary, Gen, TestResult};
use std::time::Duration;

/// Throughput in nominal seconds of work per second, so high that a job's total work doesn't affect
/// its rank.
const RATE: f64 = 1e9;

/// Start that the customer's fair share allows: no later than any arrival, so it delays no task.
const FAIR_START: Time = Time::ZERO;

const CONFIG: FuzzConfig = FuzzConfig { length: 200, cases: 500 };

#[derive(Clone, Copy, Debug)]
enum Event {
    Push { arrived_ms: u16, run_time_ms: u16, deadline_ms: u16, cores: u32 },
    Remove { which: usize },
    PopFirst,
    Expire { now_ms: u16 },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=3 => Event::Push {
                arrived_ms: u16::arbitrary(g) % 200,
                run_time_ms: u16::arbitrary(g) % 50,
                deadline_ms: u16::arbitrary(g) % 2_000,
                cores: u32::arbitrary(g) % 5,
            },
            4 => Event::Remove { which: usize::arbitrary(g) },
            5 | 6 => Event::PopFirst,
            _ => Event::Expire { now_ms: u16::arbitrary(g) % 1_000 },
        }
    }
}

/// Entry of the reference list; `number` is the value.
struct Entry {
    rank: Rank,
    deadline: Time,
    key: QueueKey,
    number: usize,
}

/// Returns the only task of a job, with this declared run time.
fn task(arrived_ms: u16, run_time_ms: u16) -> Task {
    let run_time = Duration::from_millis(u64::from(run_time_ms));
    Task {
        customer: Customer::new("kadriorg-crafts"),
        class: Class::new("cut-plan"),
        worth: 1.0,
        arrived: Time::from_millis(u64::from(arrived_ms)),
        // The rank doesn't depend on the deadline.
        deadline: Time::from_millis(10_000),
        declared: run_time,
        needs: Default::default(),
        job_longest: run_time,
        job_work: run_time,
    }
}

fn rank(arrived_ms: u16, run_time_ms: u16) -> Rank {
    let task = task(arrived_ms, run_time_ms);
    Rank::of(&task, task.declared, FAIR_START, RATE, &Options::default())
}

/// Index of the first entry in rank order. Entries of equal rank keep the order of their pushes.
fn first(entries: &[Entry]) -> Option<usize> {
    (0..entries.len()).min_by_key(|at| (entries[*at].rank, entries[*at].number))
}

fn matches_reference(events: Vec<Event>) -> TestResult {
    let mut queue: Queue<usize> = Queue::default();
    let mut entries: Vec<Entry> = Vec::new();
    for (number, event) in events.into_iter().enumerate() {
        match event {
            Event::Push { arrived_ms, run_time_ms, deadline_ms, cores } => {
                let rank = rank(arrived_ms, run_time_ms);
                let deadline = Time::from_millis(u64::from(deadline_ms));
                let shape = Shape::of(&Needs { cores, ..Needs::default() });
                let key = queue.push(rank, shape, deadline, number);
                entries.push(Entry { rank, deadline, key, number });
            }
            Event::Remove { which } if !entries.is_empty() => {
                let removed = entries.swap_remove(which % entries.len());
                if queue.remove(removed.key) != Some(removed.number)
                    || queue.get(removed.key).is_some()
                {
                    return TestResult::error(
                        "a value could not be removed, or is still queued after its removal",
                    );
                }
            }
            Event::Remove { .. } => {}
            Event::PopFirst => {
                let expected = first(&entries).map(|at| entries.swap_remove(at).number);
                let head = queue.walk().next();
                let popped = head.and_then(|(_, key)| queue.remove(key));
                if popped != expected {
                    return TestResult::error(format!("popped {popped:?}, expected {expected:?}"));
                }
            }
            Event::Expire { now_ms } => {
                let now = Time::from_millis(u64::from(now_ms));
                let mut expired = queue.expire(now);
                let (due, stay) =
                    entries.into_iter().partition::<Vec<Entry>, _>(|entry| entry.deadline <= now);
                entries = stay;
                let mut due: Vec<usize> = due.iter().map(|entry| entry.number).collect();
                due.sort_unstable();
                expired.sort_unstable();
                if expired != due {
                    return TestResult::error(
                        "the expired values are not those whose deadline has passed",
                    );
                }
            }
        }
        if queue.len() != entries.len() {
            return TestResult::error("the queue and the reference list differ in length");
        }
    }
    TestResult::passed()
}

#[test]
fn the_queue_keeps_order_and_loses_nothing() {
    check(CONFIG, matches_reference as fn(Vec<Event>) -> TestResult);
}

#[test]
fn a_shorter_task_overtakes_only_within_the_allowed_wait() {
    let options = Options::default();
    let long = task(0, 200);
    let allowed_wait_s = options.wait_factor * 0.2;
    // Arrivals in milliseconds, at 90 % and at 110 % of the wait allowed to the long task.
    let soon = task((allowed_wait_s * 900.0) as u16, 1);
    let late = task((allowed_wait_s * 1_100.0) as u16, 1);

    let rank = |task: &Task| Rank::of(task, task.declared, FAIR_START, RATE, &options);

    assert!(rank(&soon) < rank(&long));
    assert!(rank(&long) < rank(&late));
}

#[test]
fn worth_counts_only_under_its_objective() {
    let ordinary = task(0, 100);
    let valuable = Task { worth: 5.0, ..ordinary.clone() };

    let rank = |task: &Task, objective| {
        Rank::of(task, task.declared, FAIR_START, RATE, &Options::default().objective(objective))
    };

    assert!(rank(&valuable, Objective::Worth) < rank(&ordinary, Objective::Worth));
    assert_eq!(rank(&valuable, Objective::Response), rank(&ordinary, Objective::Response));
}
