//! Memory of the records is shared fairly: customers that flood leave capacity for the others.

use crate::harness::{FuzzConfig, check};
use heathertrack::clock::Time;
use heathertrack::record::{Admission, Digest, Key, Limits, Records};
use quickcheck::{Arbitrary, Gen, TestResult};

const CONFIG: FuzzConfig = FuzzConfig { length: 300, cases: 200 };
/// Maximum number of records.
const RECORDS: usize = 60;
/// Maximum total size of the kept answers, in bytes.
const ANSWER_BYTES: usize = 1_000;
/// Number of customers that flood.
const FLOODERS: u8 = 3;
const ACCEPT_UNTIL: Time = Time::from_millis(1_000);

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A customer that floods submits a new job.
    Submit { customer: u8 },
    /// A started job ends with an answer of this size: `which` modulo the number of started jobs.
    Finish { which: usize, bytes: u8 },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        // Customer 0 submits two thirds of all jobs.
        let customer = (u8::arbitrary(g) % (2 * FLOODERS)).saturating_sub(FLOODERS);
        match u8::arbitrary(g) % 3 {
            0 => Event::Finish { which: usize::arbitrary(g), bytes: u8::arbitrary(g) },
            _ => Event::Submit { customer },
        }
    }
}

struct Model {
    records: Records<(), usize>,
    /// Keys of the jobs that were started, including those that have ended.
    started: Vec<Key>,
    /// Number of jobs submitted.
    sequence: usize,
}

impl Model {
    fn new() -> Self {
        let limits = Limits::default().records(RECORDS).answer_bytes(ANSWER_BYTES);
        Model { records: Records::new(limits), started: Vec::new(), sequence: 0 }
    }

    fn submit(&mut self, customer: &str) -> Admission<(), usize> {
        self.sequence += 1;
        let key = Key::new(customer, format!("key-{}", self.sequence));
        let digest = Digest::of(b"a job");
        let admission = self.records.submit(&key, digest, ACCEPT_UNTIL, Time::ZERO, ());
        if admission == Admission::Started {
            self.started.push(key);
        }
        admission
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Submit { customer } => {
                self.submit(&format!("flooder-{customer}"));
            }
            Event::Finish { which, bytes } => {
                if let Some(at) = which.checked_rem(self.started.len()) {
                    self.records.finish(&self.started[at].clone(), which, usize::from(bytes));
                }
            }
        }
    }
}

#[test]
fn customers_that_flood_leave_room_for_another() {
    fn property(events: Vec<Event>) -> TestResult {
        let mut model = Model::new();
        for event in events {
            model.apply(event);
        }
        if model.records.len() > RECORDS || model.records.answer_bytes() > ANSWER_BYTES {
            return TestResult::error("the records exceed a limit");
        }
        TestResult::from_bool(model.submit("modest") == Admission::Started)
    }
    check(CONFIG, property as fn(Vec<Event>) -> TestResult);
}

#[test]
fn answers_of_customers_that_flood_do_not_push_out_a_small_one() {
    fn property(events: Vec<Event>) -> TestResult {
        let mut model = Model::new();
        model.submit("modest");
        let key = model.started.remove(0);
        // The answer is represented by 7, and its size is 10 bytes.
        model.records.finish(&key, 7, 10);
        for event in events {
            model.apply(event);
        }
        TestResult::from_bool(model.records.get(&key) == Some(Admission::Finished(7)))
    }
    check(CONFIG, property as fn(Vec<Event>) -> TestResult);
}

#[test]
fn one_customer_alone_may_use_most_of_the_records() {
    let mut model = Model::new();

    let started = (0..RECORDS).filter(|_| model.submit("alone") == Admission::Started).count();

    assert!(started >= RECORDS / 2, "{started} of {RECORDS} records");
}
