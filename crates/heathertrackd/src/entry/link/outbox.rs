//! Queue of messages to a peer.

use crate::entry::frame::Frame;
use std::rc::Rc;
use tokio::sync::{Notify, mpsc};

/// Number of messages that can be queued for a slow peer.
const CAPACITY: usize = 1_024;

/// Queue of messages to a peer. A message that doesn't fit ends the link, as both hosts would otherwise
/// go on with what earlier messages said: the peer with a roster that has changed, or with a job that was
/// cancelled.
#[derive(Clone, Debug)]
pub struct Outbox {
    frames: mpsc::Sender<Frame>,
    overflow: Rc<Notify>,
}

/// Error of a message that wasn't queued: the queue is full, or the link has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the message doesn't fit into the queue of the link, or the link has ended")]
pub struct SendError;

impl Outbox {
    /// Opens a queue. Returns it with its other end and the notification of a message that didn't fit.
    pub fn open() -> (Self, mpsc::Receiver<Frame>, Rc<Notify>) {
        let (frames, queue) = mpsc::channel(CAPACITY);
        let overflow = Rc::new(Notify::new());
        (Outbox { frames, overflow: overflow.clone() }, queue, overflow)
    }

    /// Queues a message, or ends the link if there is no room for it.
    pub fn send(&self, frame: Frame) -> Result<(), SendError> {
        self.frames.try_send(frame).map_err(|_| {
            self.overflow.notify_one();
            SendError
        })
    }
}
