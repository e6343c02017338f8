//! The emulated network between hosts, upstreams and the store.

use bytes::Bytes;
use heathertrackd::entry::Net;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{Mutex, Notify, mpsc};
use tokio::time::{Instant, Sleep, sleep, sleep_until};

/// Interval at which a reader checks whether a partition has healed.
const CUT_LOOK: Duration = Duration::from_millis(5);

/// An endpoint in the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    /// An entry host, by number.
    Host(usize),
    /// An upstream, by number.
    Upstream(usize),
    /// The store.
    Store,
}

/// A task that runs outside of the hosts' processes.
type Put = Pin<Box<dyn Future<Output = ()>>>;

/// State of all paths between nodes.
#[derive(Default)]
pub struct Network {
    listeners: RefCell<BTreeMap<SocketAddr, mpsc::UnboundedSender<Pipe>>>,
    places: RefCell<BTreeMap<SocketAddr, Node>>,
    centres: RefCell<BTreeMap<Node, usize>>,
    cuts: RefCell<BTreeSet<(Node, Node)>>,
    resets: RefCell<BTreeSet<(Node, Node)>>,
    dark: RefCell<BTreeSet<Node>>,
    pub(super) tasks: RefCell<Vec<Put>>,
    pub(super) more: Notify,
    /// One-way delay within a data centre.
    pub near: Cell<Duration>,
    /// One-way delay between data centres.
    pub far: Cell<Duration>,
}

impl fmt::Debug for Network {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Network").field("cuts", &self.cuts).finish_non_exhaustive()
    }
}

impl Network {
    /// Assigns a node to a data centre.
    pub fn place(&self, node: Node, centre: usize) {
        self.centres.borrow_mut().insert(node, centre);
    }

    /// Returns the data centre of a node.
    pub fn centre(&self, node: Node) -> Option<usize> {
        self.centres.borrow().get(&node).copied()
    }

    /// Partitions the path from one node to another, or restores it. The way back is not affected.
    pub fn cut(&self, from: Node, to: Node, cut: bool) {
        if cut {
            self.cuts.borrow_mut().insert((from, to));
        } else {
            self.cuts.borrow_mut().remove(&(from, to));
        }
    }

    /// Refuses connections from one node to another, or allows them again.
    pub fn reset(&self, from: Node, to: Node, reset: bool) {
        if reset {
            self.resets.borrow_mut().insert((from, to));
        } else {
            self.resets.borrow_mut().remove(&(from, to));
        }
    }

    /// Returns whether connections from one node to another are refused.
    pub fn is_reset(&self, from: Node, to: Node) -> bool {
        self.resets.borrow().contains(&(from, to))
    }

    /// Powers a node off, or on again.
    pub fn darken(&self, node: Node, dark: bool) {
        if dark {
            self.dark.borrow_mut().insert(node);
        } else {
            self.dark.borrow_mut().remove(&node);
        }
    }

    /// Returns whether messages from one node to another are lost.
    pub fn is_cut(&self, from: Node, to: Node) -> bool {
        let dark = self.dark.borrow();
        self.cuts.borrow().contains(&(from, to)) || dark.contains(&from) || dark.contains(&to)
    }

    /// Returns the one-way delay between two nodes.
    pub fn delay(&self, from: Node, to: Node) -> Duration {
        let centres = self.centres.borrow();
        if centres.get(&from) == centres.get(&to) { self.near.get() } else { self.far.get() }
    }

    /// Waits until a message from one node reaches another. Never returns if the path is
    /// partitioned when the message is sent or when it arrives.
    pub async fn carry(&self, from: Node, to: Node) {
        if self.is_cut(from, to) {
            pending::<()>().await;
        }
        sleep(self.delay(from, to)).await;
        if self.is_cut(from, to) {
            pending::<()>().await;
        }
    }
}

/// The network as one host sees it.
#[derive(Clone, Debug)]
pub struct Port {
    pub network: Rc<Network>,
    pub host: usize,
}

/// Queue of incoming connections.
#[derive(Debug)]
pub struct Listener(Mutex<mpsc::UnboundedReceiver<Pipe>>);

impl Net for Port {
    type Stream = Pipe;
    type Listener = Listener;

    async fn listen(&self, address: SocketAddr) -> io::Result<Listener> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.network.listeners.borrow_mut().insert(address, sender);
        self.network.places.borrow_mut().insert(address, Node::Host(self.host));
        Ok(Listener(Mutex::new(receiver)))
    }

    async fn accept(&self, listener: &Listener) -> io::Result<Pipe> {
        match listener.0.lock().await.recv().await {
            Some(pipe) => Ok(pipe),
            None => pending().await,
        }
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<Pipe> {
        let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
        let own = Node::Host(self.host);
        let place = self.network.places.borrow().get(&address).copied();
        let Some(there) = place else { return Err(refused()) };
        self.network.carry(own, there).await;
        let listener = self.network.listeners.borrow().get(&address).cloned();
        let listener = listener.filter(|listener| !listener.is_closed()).ok_or_else(refused)?;
        let (near, far) = Pipe::pair(&self.network, own, there);
        listener.send(far).map_err(|_| refused())?;
        self.network.carry(there, own).await;
        Ok(near)
    }
}

/// One direction of a connection.
#[derive(Debug, Default)]
struct Lane {
    queue: VecDeque<(Instant, Bytes)>,
    closed: Option<Instant>,
    reader: Option<Waker>,
}

/// One end of a connection.
#[derive(Debug)]
pub struct Pipe {
    network: Rc<Network>,
    own: Node,
    other: Node,
    incoming: Rc<RefCell<Lane>>,
    outgoing: Rc<RefCell<Lane>>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Pipe {
    fn pair(network: &Rc<Network>, one: Node, other: Node) -> (Pipe, Pipe) {
        let (there, back) = (Rc::<RefCell<Lane>>::default(), Rc::<RefCell<Lane>>::default());
        let end = |own, other, incoming: &Rc<RefCell<Lane>>, outgoing: &Rc<RefCell<Lane>>| Pipe {
            network: network.clone(),
            own,
            other,
            incoming: incoming.clone(),
            outgoing: outgoing.clone(),
            timer: None,
        };
        (end(one, other, &back, &there), end(other, one, &there, &back))
    }

    fn wait(&mut self, until: Instant, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut timer = Box::pin(sleep_until(until));
        // A timer that is already due does not wake the task, so that is done here.
        if timer.as_mut().poll(context).is_ready() {
            context.waker().wake_by_ref();
        }
        self.timer = Some(timer);
        Poll::Pending
    }
}

impl AsyncRead for Pipe {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let now = Instant::now();
        let due = {
            let mut lane = self.incoming.borrow_mut();
            lane.reader = Some(context.waker().clone());
            let first = lane.queue.front().map(|(due, _)| *due);
            first.or(lane.closed)
        };
        let Some(due) = due else { return Poll::Pending };
        if due > now {
            return self.wait(due, context);
        }
        if self.network.is_cut(self.other, self.own) {
            return self.wait(now + CUT_LOOK, context);
        }
        let mut lane = self.incoming.borrow_mut();
        if let Some((due, mut bytes)) = lane.queue.pop_front() {
            let taken = bytes.split_to(bytes.len().min(buffer.remaining()));
            buffer.put_slice(&taken);
            if !bytes.is_empty() {
                lane.queue.push_front((due, bytes));
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Pipe {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.incoming.borrow().closed.is_some_and(|closed| closed <= Instant::now()) {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let due = Instant::now() + self.network.delay(self.own, self.other);
        let mut lane = self.outgoing.borrow_mut();
        lane.queue.push_back((due, Bytes::copy_from_slice(bytes)));
        if let Some(reader) = lane.reader.take() {
            reader.wake();
        }
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Drop for Pipe {
    fn drop(&mut self) {
        // A host that has lost power does not close its connections.
        if self.network.dark.borrow().contains(&self.own) {
            return;
        }
        let mut lane = self.outgoing.borrow_mut();
        lane.closed = Some(Instant::now() + self.network.delay(self.own, self.other));
        if let Some(reader) = lane.reader.take() {
            reader.wake();
        }
    }
}
