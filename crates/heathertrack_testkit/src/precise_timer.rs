//! Timer with sub-millisecond resolution, to simulate short network delays and run times.
//!
//! Tokio's timer has a resolution of one millisecond and rounds up, which would add up to a
//! millisecond to each simulated delay.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Maximum wait of the timer thread while there are no sleepers.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(1);

/// Sleeps for a duration; returns at once if it is zero.
pub async fn sleep(duration: Duration) {
    if !duration.is_zero() {
        let _ = timer().wake_at(Instant::now() + duration).await;
    }
}

/// Timer that wakes sleepers from a dedicated thread.
#[derive(Default)]
struct Timer {
    sleepers: Mutex<Sleepers>,
    /// Notified when a new sleeper is the first to wake.
    earlier_deadline: Condvar,
}

#[derive(Default)]
struct Sleepers {
    by_deadline: BinaryHeap<Reverse<Sleeper>>,
    /// Number of the last sleeper added.
    sequence: u64,
}

struct Sleeper {
    deadline: Instant,
    /// Orders sleepers with equal deadlines, and identifies the sleeper.
    sequence: u64,
    wake: oneshot::Sender<()>,
}

fn timer() -> &'static Timer {
    static TIMER: OnceLock<&'static Timer> = OnceLock::new();
    TIMER.get_or_init(|| {
        let timer: &'static Timer = Box::leak(Box::default());
        std::thread::spawn(|| timer.run());
        timer
    })
}

impl Timer {
    fn wake_at(&self, deadline: Instant) -> oneshot::Receiver<()> {
        let (wake, woken) = oneshot::channel();
        let mut sleepers = self.lock();
        sleepers.sequence += 1;
        let sequence = sleepers.sequence;
        sleepers.by_deadline.push(Reverse(Sleeper { deadline, sequence, wake }));
        let is_first = sleepers.by_deadline.peek().is_some_and(|Reverse(s)| s.sequence == sequence);
        drop(sleepers);
        if is_first {
            self.earlier_deadline.notify_one();
        }
        woken
    }

    fn run(&self) {
        let mut sleepers = self.lock();
        loop {
            let left = sleepers.wake_due(Instant::now()).unwrap_or(MAX_IDLE_WAIT);
            let waited = self.earlier_deadline.wait_timeout(sleepers, left);
            sleepers = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Sleepers> {
        self.sleepers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Sleepers {
    /// Wakes all sleepers that are due, and returns the time until the next one.
    fn wake_due(&mut self, now: Instant) -> Option<Duration> {
        while let Some(Reverse(next)) = self.by_deadline.peek() {
            if next.deadline > now {
                return Some(next.deadline - now);
            }
            if let Some(Reverse(due)) = self.by_deadline.pop() {
                let _ = due.wake.send(());
            }
        }
        None
    }
}

impl PartialEq for Sleeper {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Sleeper {}

impl PartialOrd for Sleeper {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Sleeper {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.deadline, self.sequence).cmp(&(other.deadline, other.sequence))
    }
}
