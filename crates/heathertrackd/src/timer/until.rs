//! Future of a delayed wakeup.

use super::Timer;
use super::schedule::Key;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::oneshot;

/// Future that completes at an instant.
#[derive(Debug)]
#[must_use = "futures do nothing unless awaited"]
pub struct Until {
    timer: Timer,
    key: Key,
    fired: oneshot::Receiver<()>,
}

impl Until {
    pub(super) fn new(timer: Timer, key: Key, fired: oneshot::Receiver<()>) -> Self {
        Until { timer, key, fired }
    }
}

impl Future for Until {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.fired).poll(context).map(|_| ())
    }
}

impl Drop for Until {
    fn drop(&mut self) {
        self.timer.remove(self.key);
    }
}
