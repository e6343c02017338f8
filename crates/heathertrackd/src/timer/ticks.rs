//! Receiver of periodic ticks.

use tokio::sync::mpsc;

/// Periodic ticks of the timer service.
#[derive(Debug)]
pub struct Ticks {
    ticks: mpsc::Receiver<()>,
}

impl Ticks {
    pub(super) fn new(ticks: mpsc::Receiver<()>) -> Self {
        Ticks { ticks }
    }

    /// Waits for the next tick. Returns `None` once the service has ended.
    pub async fn next(&mut self) -> Option<()> {
        self.ticks.recv().await
    }
}
