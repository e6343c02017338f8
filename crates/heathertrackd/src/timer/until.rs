use super::Timer;
use super::due::Key;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::oneshot;

/// Future that completes at an instant.
#[derive(Debug)]
#[must_use = "futures do nothing unless awaited"]
pub struct Until {
    timer: Timer,
    key: Key,
    due: oneshot::Receiver<()>,
}

impl Until {
    pub(super) fn new(timer: Timer, key: Key, due: oneshot::Receiver<()>) -> Self {
        Until { timer, key, due }
    }
}

impl Future for Until {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.due).poll(context).map(|_| ())
    }
}

impl Drop for Until {
    fn drop(&mut self) {
        self.timer.remove(self.key);
    }
}
