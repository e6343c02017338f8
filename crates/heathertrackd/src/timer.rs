//! Timer service for all periodic and delayed work.

mod due;
mod ticks;
mod until;

pub use ticks::Ticks;
pub use until::Until;

use crate::state::lock;
use due::{Due, Entry, Key};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc, oneshot};

/// Longest sleep of the service when nothing is due.
const IDLE: Duration = Duration::from_secs(60);

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
    due: Mutex<Due>,
    /// Wakes the service: an earlier subscription was added, or the last handle was dropped.
    earlier: Arc<Notify>,
}

impl Timer {
    /// Starts the service, which ends when the last handle is dropped.
    pub fn spawn() -> Self {
        let earlier = Arc::new(Notify::new());
        let shared = Arc::new(Shared { due: Mutex::default(), earlier: earlier.clone() });
        tokio::spawn(serve(Arc::downgrade(&shared), earlier));
        Timer { shared }
    }

    /// Ticks periodically. A tick is skipped if the previous one was not consumed.
    pub fn every(&self, period: Duration) -> Ticks {
        let (sender, ticks) = mpsc::channel(1);
        self.add(Instant::now() + period, Entry::Every(period, sender));
        Ticks::new(ticks)
    }

    /// Waits until an instant. Dropping the future removes the subscription.
    pub fn until(&self, instant: Instant) -> Until {
        let (sender, due) = oneshot::channel();
        let key = self.add(instant, Entry::At(sender));
        Until::new(self.clone(), key, due)
    }

    /// Waits for a duration.
    pub fn wait(&self, span: Duration) -> Until {
        self.until(Instant::now() + span)
    }

    fn add(&self, at: Instant, entry: Entry) -> Key {
        let (key, is_first) = lock(&self.shared.due).add(at, entry);
        if is_first {
            self.shared.earlier.notify_one();
        }
        key
    }

    fn remove(&self, key: Key) {
        lock(&self.shared.due).remove(key);
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.earlier.notify_one();
    }
}

async fn serve(shared: Weak<Shared>, earlier: Arc<Notify>) {
    loop {
        let next = match shared.upgrade() {
            Some(shared) => lock(&shared.due).fire(Instant::now()),
            None => return,
        };
        let wake = next.unwrap_or_else(|| Instant::now() + IDLE);
        tokio::select! {
            () = tokio::time::sleep_until(wake.into()) => {}
            () = earlier.notified() => {}
        }
    }
}
