//! Submission handling: a job starts once per key, however often it is submitted.

use heathertrack::claim::Window;
use heathertrack::clock::Time;
use heathertrack::home::{Clocks, Desk, Origin};
use heathertrack::name::{Customer, DataCentre, Host};
use heathertrack::record::{Digest, Entry, Key, Limits};
use heathertrack::ticket::{Home, Incarnation, Issuer, Secret};
use std::time::Duration;

fn main() {
    let home = Home {
        data_centre: DataCentre::new("ee-north-1"),
        host: Host::new("e1"),
        incarnation: Incarnation(1),
    };
    let clocks = Clocks { now: Time::ZERO, wall_ms: 1_800_000_000_000 };
    let issuer = Issuer::new(home, Secret([7; 32]));
    let mut desk: Desk<&str, &str> =
        Desk::open(issuer, Window::default(), Limits::default(), clocks);

    let customer = Customer::new("kadriorg-crafts");
    let valid = Duration::from_secs(60);
    let ticket = desk.issue(&customer, clocks.now, valid).expect("the desk is open");
    let key = Key::new(customer.as_str(), format!("{ticket}/1"));
    let origin = Origin::Ticket(ticket);
    let digest = Digest::of(b"reserve block 17");

    let first = desk.submit(&key, &origin, digest, clocks, "the job's handle");
    println!("first submission: {first:?}");
    let second = desk.submit(&key, &origin, digest, clocks, "not used");
    println!("while it runs:    {second:?}");
    desk.finish(&key, "block 17 is yours", 17);
    let third = desk.submit(&key, &origin, digest, clocks, "not used");
    println!("when it is done:  {third:?}");
    let other = desk.submit(&key, &origin, Digest::of(b"reserve block 18"), clocks, "not used");
    println!("another body:     {other:?}");

    assert_eq!(third, Ok(Entry::Known("block 17 is yours")));
}
