//! Submission handling: a job starts at most once per key, however often it is submitted.

use heathertrack::claim::KeyWindow;
use heathertrack::clock::Time;
use heathertrack::home::{Clocks, Origin, SubmissionRegistry};
use heathertrack::name::{Customer, DataCentre, Host};
use heathertrack::record::{Admission, Digest, Key, Limits};
use heathertrack::ticket::{Home, Incarnation, Issuer, Secret};
use std::time::Duration;

/// Size of the job's answer in memory.
const ANSWER_BYTES: usize = 17;

fn main() {
    let home = Home {
        data_centre: DataCentre::new("ee-north-1"),
        host: Host::new("e1"),
        incarnation: Incarnation(1),
    };
    let clocks = Clocks { now: Time::ZERO, wall_ms: 1_800_000_000_000 };
    let issuer = Issuer::new(home, Secret([7; 32]));
    let mut submissions: SubmissionRegistry<&str, &str> =
        SubmissionRegistry::new(issuer, KeyWindow::default(), Limits::default(), clocks);

    let customer = Customer::new("kadriorg-crafts");
    let validity = Duration::from_secs(60);
    let ticket =
        submissions.issue(&customer, clocks.now, validity).expect("failed to issue a ticket");
    // The caller numbers the jobs that it submits under a ticket.
    let key = Key::new(customer.as_str(), format!("{ticket}/1"));
    let origin = Origin::Ticket(ticket);
    let digest = Digest::of(b"reserve block 17");

    let first = submissions.submit(&key, &origin, digest, clocks, "the job's handle");
    println!("first submission: {first:?}");
    let second = submissions.submit(&key, &origin, digest, clocks, "not used");
    println!("while it runs:    {second:?}");
    submissions.finish(&key, "block 17 is yours", ANSWER_BYTES);
    let third = submissions.submit(&key, &origin, digest, clocks, "not used");
    println!("when it is done:  {third:?}");
    let other =
        submissions.submit(&key, &origin, Digest::of(b"reserve block 18"), clocks, "not used");
    println!("another body:     {other:?}");

    assert_eq!(third, Ok(Admission::Finished("block 17 is yours")));
}
