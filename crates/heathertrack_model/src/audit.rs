//! Checks of the runs on all upstreams, when an order is executed.

use super::orders::Fleet;
use super::process::ProcessEnd;
use super::upstream::EmulatedUpstream;
use super::verdict::Violation;
use heathertrack::pool::Task;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Rate of the slowest clock of an upstream relative to true time.
pub const MIN_CLOCK_RATE: f64 = 0.98;

/// A run: index and incarnation of its upstream, task and number.
type RunId = (usize, u64, Task, u32);

/// Who started a run.
#[derive(Debug)]
struct Starter {
    process: ProcessEnd,
    /// Whether the order was executed late.
    late: bool,
}

/// The order that is executed.
#[derive(Clone, Debug)]
pub struct Origin {
    /// Process of the host that gave it.
    pub process: ProcessEnd,
    /// Whether it is executed late.
    pub late: bool,
}

/// Checks after each order that an upstream executes:
///
/// - When a run starts, no other upstream has a run of its task, be it one that is being stopped.
///   Runs whose start was executed late are left out, as in [`Violation::ConcurrentRuns`].
/// - When a lease is prolonged, by a poll or a start, the process of the host that started each of
///   the upstream's runs is alive, or was killed so short a time ago that the run ends before a caller
///   submits its job again. Orders that are executed late, runs that they started and runs that are
///   being stopped are left out. A process that is suspended or partitioned counts as alive. Whether
///   a live process still follows its run isn't visible here.
#[derive(Debug)]
pub struct Auditor {
    fleet: Fleet,
    /// Time since the end of a run's starter after which its lease must not be prolonged.
    max_renewal_age: Duration,
    /// Time from which the violations' times count.
    pub origin: Cell<Instant>,
    /// Runs in progress, and some that have ended.
    starters: RefCell<BTreeMap<RunId, Starter>>,
    violations: RefCell<Vec<Violation>>,
}

impl Auditor {
    /// Creates an auditor of a fleet whose runs have to be over `resubmit_delay` after the end of
    /// their host, with leases of this duration.
    pub fn new(fleet: &Fleet, resubmit_delay: Duration, lease: Duration) -> Self {
        let max_renewal_age = resubmit_delay.saturating_sub(lease.div_f64(MIN_CLOCK_RATE));
        Auditor {
            fleet: fleet.clone(),
            max_renewal_age,
            origin: Cell::new(Instant::now()),
            starters: RefCell::default(),
            violations: RefCell::default(),
        }
    }

    /// Executes an order on an upstream, and checks what it did there.
    pub fn execute<T>(
        &self,
        index: usize,
        upstream: &mut EmulatedUpstream,
        origin: &Origin,
        order: impl FnOnce(&mut EmulatedUpstream) -> T,
    ) -> T {
        let now = Instant::now();
        upstream.advance(now);
        let lease_end_ms = upstream.lease_end_ms();
        let known: Vec<(Task, u32)> = upstream.running().collect();
        let answer = order(upstream);
        let incarnation = upstream.incarnation();
        for (task, number) in upstream.running().filter(|run| !known.contains(run)) {
            let id = (index, incarnation, task.clone(), number);
            let starter = Starter { process: origin.process.clone(), late: origin.late };
            self.starters.borrow_mut().insert(id, starter);
            if !origin.late {
                self.check_start(index, &task, now);
            }
        }
        if upstream.lease_end_ms() > lease_end_ms && !origin.late {
            self.check_renewal(index, upstream, now);
        }
        answer
    }

    /// Checks that a task that has started on an upstream runs on no other one.
    fn check_start(&self, index: usize, task: &Task, now: Instant) {
        let starters = self.starters.borrow();
        for (other, upstream) in self.fleet.borrow().iter().enumerate() {
            if other == index {
                // The upstream that executes the order is borrowed. It has one run of a task at most.
                continue;
            }
            let upstream = upstream.borrow();
            let Some(number) = upstream.running_number(task, now) else { continue };
            let id = (other, upstream.incarnation(), task.clone(), number);
            if starters.get(&id).is_some_and(|starter| !starter.late) {
                let at = now - self.origin.get();
                let violation = Violation::StartedWhileRunning { task: task.clone(), at };
                self.violations.borrow_mut().push(violation);
            }
        }
    }

    /// Checks that a host which is alive started each run on an upstream whose lease was prolonged.
    fn check_renewal(&self, index: usize, upstream: &EmulatedUpstream, now: Instant) {
        let starters = self.starters.borrow();
        for (task, number) in upstream.running() {
            if upstream.is_stopping(&task) {
                continue;
            }
            let id = (index, upstream.incarnation(), task.clone(), number);
            let Some(starter) = starters.get(&id).filter(|starter| !starter.late) else { continue };
            let Some(ended_at) = starter.process.at() else { continue };
            let age = now - ended_at;
            if age > self.max_renewal_age {
                let at = now - self.origin.get();
                let violation = Violation::RenewedWithoutHost { task, age, at };
                self.violations.borrow_mut().push(violation);
            }
        }
    }

    /// Returns the violations, and forgets them.
    pub fn take_violations(&self) -> Vec<Violation> {
        self.violations.take()
    }
}
