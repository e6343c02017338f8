//! The emulated network between hosts, upstreams and the store.

use bytes::Bytes;
use heathertrackd::entry::Transport;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{Mutex, Notify, mpsc};
use tokio::time::{Instant, Sleep, sleep, sleep_until};

/// Interval at which a reader checks whether a partition has healed.
const PARTITION_POLL: Duration = Duration::from_millis(5);

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
type DetachedTask = Pin<Box<dyn Future<Output = ()>>>;

/// A connection between two nodes, and its two directions while an end of it exists.
struct Connection {
    ends: (Node, Node),
    directions: [Weak<RefCell<Direction>>; 2],
}

/// State of all paths between nodes.
#[derive(Default)]
pub struct Network {
    /// Queues of incoming connections by the address of the listener.
    listeners: RefCell<BTreeMap<SocketAddr, mpsc::UnboundedSender<Pipe>>>,
    /// Host that listens at each address.
    nodes: RefCell<BTreeMap<SocketAddr, Node>>,
    /// Data centre of each node.
    centres: RefCell<BTreeMap<Node, usize>>,
    /// Paths, from one node to another, on which messages are lost.
    partitions: RefCell<BTreeSet<(Node, Node)>>,
    /// Paths on which connections are refused.
    refusing: RefCell<BTreeSet<(Node, Node)>>,
    /// Connections between hosts, some of which may have ended.
    connections: RefCell<Vec<Connection>>,
    powered_off: RefCell<BTreeSet<Node>>,
    /// Tasks to spawn outside of the hosts' processes.
    pub(super) detached: RefCell<Vec<DetachedTask>>,
    /// Notified when a detached task is added.
    pub(super) detached_added: Notify,
    /// One-way delay within a data centre.
    pub near: Cell<Duration>,
    /// One-way delay between data centres.
    pub far: Cell<Duration>,
}

impl fmt::Debug for Network {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Network").field("cuts", &self.partitions).finish_non_exhaustive()
    }
}

impl Network {
    /// Assigns a node to a data centre.
    pub fn assign_centre(&self, node: Node, centre: usize) {
        self.centres.borrow_mut().insert(node, centre);
    }

    /// Returns the data centre of a node.
    pub fn centre(&self, node: Node) -> Option<usize> {
        self.centres.borrow().get(&node).copied()
    }

    /// Partitions the path from one node to another, or restores it. The way back is not affected.
    pub fn set_partitioned(&self, from: Node, to: Node, partitioned: bool) {
        if partitioned {
            self.partitions.borrow_mut().insert((from, to));
        } else {
            self.partitions.borrow_mut().remove(&(from, to));
        }
    }

    /// Refuses connections from one node to another, or allows them again.
    pub fn set_refusing(&self, from: Node, to: Node, refusing: bool) {
        if refusing {
            self.refusing.borrow_mut().insert((from, to));
        } else {
            self.refusing.borrow_mut().remove(&(from, to));
        }
    }

    /// Returns whether connections from one node to another are refused.
    pub fn is_refusing(&self, from: Node, to: Node) -> bool {
        self.refusing.borrow().contains(&(from, to))
    }

    /// Resets the established connections between pairs of hosts, given in either order. What is on
    /// its way is lost. New connections are accepted.
    pub fn reset_connections(&self, is_reset: impl Fn(Node, Node) -> bool) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| {
            let (one, other) = connection.ends;
            if !is_reset(one, other) && !is_reset(other, one) {
                return connection.is_alive();
            }
            let directions = connection.directions.iter().filter_map(Weak::upgrade);
            directions.for_each(|direction| direction.borrow_mut().reset());
            false
        });
    }

    /// Powers a node off, or on again.
    pub fn set_powered_off(&self, node: Node, powered_off: bool) {
        if powered_off {
            self.powered_off.borrow_mut().insert(node);
        } else {
            self.powered_off.borrow_mut().remove(&node);
        }
    }

    /// Returns whether messages from one node to another are lost, by a partition or because a node
    /// is powered off.
    pub fn is_partitioned(&self, from: Node, to: Node) -> bool {
        let powered_off = self.powered_off.borrow();
        self.partitions.borrow().contains(&(from, to))
            || powered_off.contains(&from)
            || powered_off.contains(&to)
    }

    /// Returns the one-way delay between two nodes.
    pub fn delay(&self, from: Node, to: Node) -> Duration {
        let centres = self.centres.borrow();
        if centres.get(&from) == centres.get(&to) { self.near.get() } else { self.far.get() }
    }

    /// Waits until a message from one node reaches another. Never returns if the path is
    /// partitioned when the message is sent or when it arrives.
    pub async fn deliver(&self, from: Node, to: Node) {
        if self.is_partitioned(from, to) {
            pending::<()>().await;
        }
        sleep(self.delay(from, to)).await;
        if self.is_partitioned(from, to) {
            pending::<()>().await;
        }
    }
}

/// The network as one host sees it.
#[derive(Clone, Debug)]
pub struct HostNetwork {
    pub network: Rc<Network>,
    pub host: usize,
}

/// Queue of incoming connections.
#[derive(Debug)]
pub struct Listener(Mutex<mpsc::UnboundedReceiver<Pipe>>);

impl Transport for HostNetwork {
    type Stream = Pipe;
    type Listener = Listener;

    async fn listen(&self, address: SocketAddr) -> io::Result<Listener> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.network.listeners.borrow_mut().insert(address, sender);
        self.network.nodes.borrow_mut().insert(address, Node::Host(self.host));
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
        let node = self.network.nodes.borrow().get(&address).copied();
        let Some(target) = node else { return Err(refused()) };
        self.network.deliver(own, target).await;
        let listener = self.network.listeners.borrow().get(&address).cloned();
        let listener = listener.filter(|listener| !listener.is_closed()).ok_or_else(refused)?;
        let (local, remote) = Pipe::pair(&self.network, own, target);
        listener.send(remote).map_err(|_| refused())?;
        self.network.deliver(target, own).await;
        Ok(local)
    }
}

impl Connection {
    fn is_alive(&self) -> bool {
        self.directions.iter().any(|direction| direction.strong_count() > 0)
    }
}

/// One direction of a connection.
#[derive(Debug, Default)]
struct Direction {
    /// Bytes on their way, each with the time of its arrival.
    queue: VecDeque<(Instant, Bytes)>,
    /// Time at which the close of the connection arrives.
    closed: Option<Instant>,
    /// Whether the connection was reset.
    reset: bool,
    /// Woken when bytes or the close are sent.
    reader: Option<Waker>,
}

impl Direction {
    /// Ends the connection with an error at both ends.
    fn reset(&mut self) {
        self.queue.clear();
        self.closed = Some(Instant::now());
        self.reset = true;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

/// One end of a connection.
#[derive(Debug)]
pub struct Pipe {
    network: Rc<Network>,
    own: Node,
    other: Node,
    incoming: Rc<RefCell<Direction>>,
    outgoing: Rc<RefCell<Direction>>,
    /// Wakes the reader when bytes arrive, or when a partition is checked again.
    timer: Option<Pin<Box<Sleep>>>,
}

impl Pipe {
    /// Returns the two ends of a new connection.
    fn pair(network: &Rc<Network>, one: Node, other: Node) -> (Pipe, Pipe) {
        let (outbound, inbound) =
            (Rc::<RefCell<Direction>>::default(), Rc::<RefCell<Direction>>::default());
        let end = |own,
                   other,
                   incoming: &Rc<RefCell<Direction>>,
                   outgoing: &Rc<RefCell<Direction>>| Pipe {
            network: network.clone(),
            own,
            other,
            incoming: incoming.clone(),
            outgoing: outgoing.clone(),
            timer: None,
        };
        let mut connections = network.connections.borrow_mut();
        connections.retain(Connection::is_alive);
        let directions = [Rc::downgrade(&outbound), Rc::downgrade(&inbound)];
        connections.push(Connection { ends: (one, other), directions });
        drop(connections);
        (end(one, other, &inbound, &outbound), end(other, one, &outbound, &inbound))
    }

    /// Wakes the reader at `until`.
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
            let mut direction = self.incoming.borrow_mut();
            if direction.reset {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            direction.reader = Some(context.waker().clone());
            let first = direction.queue.front().map(|(due, _)| *due);
            first.or(direction.closed)
        };
        let Some(due) = due else { return Poll::Pending };
        if due > now {
            return self.wait(due, context);
        }
        if self.network.is_partitioned(self.other, self.own) {
            return self.wait(now + PARTITION_POLL, context);
        }
        let mut direction = self.incoming.borrow_mut();
        if let Some((due, mut bytes)) = direction.queue.pop_front() {
            let taken = bytes.split_to(bytes.len().min(buffer.remaining()));
            buffer.put_slice(&taken);
            if !bytes.is_empty() {
                direction.queue.push_front((due, bytes));
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
        let mut direction = self.outgoing.borrow_mut();
        direction.queue.push_back((due, Bytes::copy_from_slice(bytes)));
        if let Some(reader) = direction.reader.take() {
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
        if self.network.powered_off.borrow().contains(&self.own) {
            return;
        }
        let mut direction = self.outgoing.borrow_mut();
        direction.closed = Some(Instant::now() + self.network.delay(self.own, self.other));
        if let Some(reader) = direction.reader.take() {
            reader.wake();
        }
    }
}
