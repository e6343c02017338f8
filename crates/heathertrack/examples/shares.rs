//! Two hosts share an allowance of 10 concurrent tasks; the idle one lends to the busy one.

use heathertrack::clock::Time;
use heathertrack::name::{Customer, Host};
use heathertrack::share::{Account, Holder, SeatManager, SeatTable, seats_share};
use heathertrack::ticket::Incarnation;
use std::time::Duration;

/// Allowance of the customer, in concurrent tasks.
const ALLOWANCE: u32 = 10;
/// Number of the first loan lent by the idle host.
const IDLE_FIRST_LOAN: u64 = 100;
/// Number of the first loan lent by the busy host, which must differ.
const BUSY_FIRST_LOAN: u64 = 200;
/// Task starts per second of each host.
const RATE: f64 = 100.0;
/// Task starts of each host that may accumulate while unused.
const BURST: f64 = 50.0;

fn holder(name: &str) -> Holder {
    Holder { host: Host::new(name), incarnation: Incarnation(1) }
}

/// Reads the table for a host and writes the change that is due, if any.
fn reconcile(seat_manager: &mut SeatManager, table: &mut SeatTable) {
    seat_manager.confirm(table, Duration::ZERO, Time::ZERO);
    let plan =
        seat_manager.plan(table, |_| false).or_else(|| seat_manager.release(table, Time::ZERO));
    if let Some(written) = plan {
        *table = written;
        seat_manager.confirm(table, Duration::ZERO, Time::ZERO);
    }
}

fn main() {
    let now = Time::ZERO;
    let customer = Customer::new("kadriorg-crafts");
    let mut table = SeatTable::default();
    let mut seat_managers = [SeatManager::new(holder("e1")), SeatManager::new(holder("e2"))];
    // In turn, e1 takes all seats, e2 joins, e1 retires and releases half of them, and e2 takes
    // these.
    for _ in 0..4 {
        seat_managers.iter_mut().for_each(|seat_manager| reconcile(seat_manager, &mut table));
    }
    let shares = seat_managers
        .map(|seat_manager| seats_share(ALLOWANCE, &customer, seat_manager.usable(now)));
    println!("shares of {ALLOWANCE} concurrent tasks: {shares:?}");

    let mut idle: Account<&str> = Account::new(IDLE_FIRST_LOAN, now);
    let mut busy: Account<&str> = Account::new(BUSY_FIRST_LOAN, now);
    idle.set_share(shares[0], RATE, BURST, now);
    busy.set_share(shares[1], RATE, BURST, now);
    // By then both hosts have accumulated a full burst of starts.
    let later = now + Duration::from_secs(1);
    // Time at which the tasks end. The loan has to last at least as long.
    let end = later + Duration::from_secs(2);
    let own = std::iter::from_fn(|| busy.acquire(end, later)).count();
    println!("the busy host starts {own} on its own share");

    let term = Duration::from_secs(3);
    let loan = idle.lend(3, 3, term, later).expect("the idle host has nothing to lend");
    busy.add_loan("e1", loan, term, later);
    let borrowed = std::iter::from_fn(|| busy.acquire(end, later)).count();
    println!("and {borrowed} on a loan; the lender has {} left", idle.free_share());

    assert_eq!(own + borrowed + idle.free_share() as usize, ALLOWANCE as usize);
}
