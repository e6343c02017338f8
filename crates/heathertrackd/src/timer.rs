//! Timer service for all periodic and delayed work.

mod schedule;
mod ticks;
mod until;

pub use ticks::Ticks;
pub use until::Until;

use crate::state::lock;
use schedule::{Key, Schedule, Subscription};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc, oneshot};

/// Longest sleep of the service when nothing is due.
const MAX_SLEEP: Duration = Duration::from_secs(60);

/// Handle to the timer service.
///
/// Adding a subscription wakes the service only if it is due before all others, so that a job's
/// deadline usually costs no thread switch.
#[derive(Clone, Debug)]
pub struct Timer {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    schedule: Mutex<Schedule>,
    /// Wakes the service: an earlier subscription was added, or the last handle was dropped.
    wake: Arc<Notify>,
}

impl Timer {
    /// Starts the service, which ends when the last handle is dropped.
    pub fn spawn() -> Self {
        let wake = Arc::new(Notify::new());
        let shared = Arc::new(Shared { schedule: Mutex::default(), wake: wake.clone() });
        tokio::spawn(run(Arc::downgrade(&shared), wake));
        Timer { shared }
    }

    /// Ticks periodically. A tick is skipped if the previous one was not consumed.
    pub fn every(&self, period: Duration) -> Ticks {
        let (sender, ticks) = mpsc::channel(1);
        self.add(Instant::now() + period, Subscription::Periodic(period, sender));
        Ticks::new(ticks)
    }

    /// Waits until an instant. Dropping the future removes the subscription.
    pub fn until(&self, instant: Instant) -> Until {
        let (sender, fired) = oneshot::channel();
        let key = self.add(instant, Subscription::Once(sender));
        Until::new(self.clone(), key, fired)
    }

    /// Waits for a duration.
    pub fn wait(&self, duration: Duration) -> Until {
        self.until(Instant::now() + duration)
    }

    fn add(&self, at: Instant, subscription: Subscription) -> Key {
        let (key, is_first) = lock(&self.shared.schedule).add(at, subscription);
        if is_first {
            self.shared.wake.notify_one();
        }
        key
    }

    fn remove(&self, key: Key) {
        lock(&self.shared.schedule).remove(key);
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.wake.notify_one();
    }
}

async fn run(shared: Weak<Shared>, wake: Arc<Notify>) {
    loop {
        let next = match shared.upgrade() {
            Some(shared) => lock(&shared.schedule).fire(Instant::now()),
            None => return,
        };
        let wake_at = next.unwrap_or_else(|| Instant::now() + MAX_SLEEP);
        tokio::select! {
            () = tokio::time::sleep_until(wake_at.into()) => {}
            () = wake.notified() => {}
        }
    }
}
