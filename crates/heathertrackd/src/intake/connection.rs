use super::Intake;
use heathertrack::intake::ConnectionKey;
use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::oneshot;
use tokio::task::yield_now;

/// Bytes of a request's head that are not charged, as its connection's buffer is.
const FREE_HEAD_BYTES: usize = 8 << 10;
/// Bytes that the HTTP library holds for each byte of a head: its buffer doubles as it grows.
const HEAD_FACTOR: usize = 2;

/// An admitted connection; removed from its intake when the last clone of its [`Guard`] is dropped.
#[derive(Debug)]
pub struct Connection {
    guard: Guard,
    closed: oneshot::Receiver<()>,
}

/// Place of a connection in its intake.
#[derive(Clone, Debug)]
pub struct Guard(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    intake: Intake,
    key: ConnectionKey,
    /// Whether a request's head has arrived, and it isn't answered yet.
    in_request: AtomicBool,
    /// Bytes that have arrived outside of requests, which are those of a head.
    head_bytes: AtomicUsize,
    /// Whether something has arrived since the last request began.
    has_read: AtomicBool,
}

impl Connection {
    pub(super) fn new(intake: Intake, key: ConnectionKey, closed: oneshot::Receiver<()>) -> Self {
        let guard = Guard(Arc::new(Inner {
            intake,
            key,
            in_request: AtomicBool::new(false),
            head_bytes: AtomicUsize::new(0),
            has_read: AtomicBool::new(false),
        }));
        Connection { guard, closed }
    }

    /// Serves the connection until it ends or has to give way.
    pub async fn serve<F: Future<Output = ()>>(self, serve: impl FnOnce(Guard) -> F) {
        let Connection { guard, closed } = self;
        let gives_way = async {
            // Without a message, the connection has left the intake and goes on.
            if closed.await.is_err() {
                pending::<()>().await;
            }
        };
        let serving = serve(guard);
        tokio::select! {
            biased;
            () = gives_way => {}
            () = serving => {}
        }
    }
}

impl Guard {
    /// Notes that the head of a request has arrived. A request that was sent ahead lets the tasks of
    /// other connections run first.
    pub async fn begin_request(&self) {
        self.0.in_request.store(true, Ordering::Relaxed);
        self.await_client();
        if !self.0.has_read.swap(false, Ordering::Relaxed) {
            yield_now().await;
        }
    }

    /// Charges the connection with the bytes of its request's body. Returns whether it is still open.
    pub fn hold(&self, bytes: usize) -> bool {
        self.0.intake.change(|intake, now| intake.hold(self.0.key, bytes, now))
    }

    /// Notes that a request has arrived whole and its job holds `bytes`. Returns whether there is room
    /// for it.
    pub fn begin_work(&self, bytes: usize) -> bool {
        self.0.intake.change(|intake, now| intake.begin_work(self.0.key, bytes, now))
    }

    /// Notes that a request has been answered.
    pub fn end_request(&self) {
        self.await_client();
        self.0.in_request.store(false, Ordering::Relaxed);
    }

    fn await_client(&self) {
        self.0.head_bytes.store(0, Ordering::Relaxed);
        self.0.intake.change(|intake, now| intake.await_client(self.0.key, now));
    }

    /// Notes that bytes have arrived.
    pub(super) fn note_read(&self, bytes: usize) {
        self.0.has_read.store(true, Ordering::Relaxed);
        if self.0.in_request.load(Ordering::Relaxed) {
            return;
        }
        let head_bytes = self.0.head_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if head_bytes > FREE_HEAD_BYTES {
            self.hold((head_bytes - FREE_HEAD_BYTES) * HEAD_FACTOR);
        }
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.intake.remove(self.key);
    }
}
