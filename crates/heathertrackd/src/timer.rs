//! The timer service that all periodic and delayed work subscribes to.

use futures::StreamExt;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use tokio_util::time::DelayQueue;

/// Subscriptions that may wait to be taken up.
const PENDING: usize = 4_096;

/// Handle to the timer service.
#[derive(Clone, Debug)]
pub struct Timer {
    requests: mpsc::Sender<Request>,
}

/// A steady tick.
#[derive(Debug)]
pub struct Ticks {
    ticks: mpsc::Receiver<()>,
}

#[derive(Debug)]
enum Request {
    Every(Duration, mpsc::Sender<()>),
    At(Instant, oneshot::Sender<()>),
}

impl Timer {
    /// Starts the service; it ends when the last handle is gone.
    pub fn spawn() -> Self {
        let (requests, inbox) = mpsc::channel(PENDING);
        tokio::spawn(serve(inbox));
        Timer { requests }
    }

    /// Ticks at a steady period. A tick that nobody took in time is left out.
    pub async fn every(&self, period: Duration) -> Ticks {
        let (sender, ticks) = mpsc::channel(1);
        let _ = self.requests.send(Request::Every(period, sender)).await;
        Ticks { ticks }
    }

    /// Waits until an instant.
    pub async fn until(&self, instant: Instant) {
        let (sender, due) = oneshot::channel();
        let _ = self.requests.send(Request::At(instant, sender)).await;
        let _ = due.await;
    }

    /// Waits for a span.
    pub async fn wait(&self, span: Duration) {
        self.until(Instant::now() + span).await;
    }
}

impl Ticks {
    /// Waits for the next tick; `None` once the service has ended.
    pub async fn next(&mut self) -> Option<()> {
        self.ticks.recv().await
    }
}

async fn serve(mut inbox: mpsc::Receiver<Request>) {
    let mut queue: DelayQueue<Request> = DelayQueue::new();
    loop {
        tokio::select! {
            request = inbox.recv() => match request {
                Some(request) => insert(&mut queue, request),
                None => return,
            },
            Some(expired) = queue.next(), if !queue.is_empty() => {
                fire(&mut queue, expired.into_inner());
            }
        }
    }
}

fn insert(queue: &mut DelayQueue<Request>, request: Request) {
    match request {
        Request::Every(period, _) => queue.insert(request, period),
        Request::At(instant, _) => queue.insert_at(request, instant.into()),
    };
}

fn fire(queue: &mut DelayQueue<Request>, request: Request) {
    match request {
        Request::Every(period, ticks) => {
            if !ticks.is_closed() {
                let _ = ticks.try_send(());
                queue.insert(Request::Every(period, ticks), period);
            }
        }
        Request::At(_, due) => {
            let _ = due.send(());
        }
    }
}
