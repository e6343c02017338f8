//! TCP relay that simulates network faults such as a partition between two hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Size of the copy buffer in bytes.
const CHUNK_BYTES: usize = 16 << 10;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Handle of a running relay. Clones control the same relay.
#[derive(Clone, Debug)]
pub struct Relay {
    address: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
}

/// How a relay treats connections and bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Mode {
    /// Whether bytes are relayed to the target.
    forward: bool,
    /// Whether bytes are relayed back from the target.
    backward: bool,
    /// Whether connections are refused.
    refuse: bool,
    /// Delay of every chunk of bytes, in both directions.
    delay: Duration,
    /// Connections belong to the epoch in which they were accepted; an increment closes them.
    epoch: u64,
}

impl Relay {
    /// Starts a relay to `target` on a free loopback port.
    pub async fn spawn(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let open =
            Mode { forward: true, backward: true, refuse: false, delay: Duration::ZERO, epoch: 0 };
        let (mode, _) = watch::channel(open);
        let relay = Relay { address, mode: Arc::new(mode) };
        tokio::spawn(relay.clone().run(listener, target));
        Ok(relay)
    }

    /// Returns the address at which the relay listens, to be used instead of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts a partition: established and new connections hang.
    pub fn partition(&self) {
        self.update(|mode| (mode.forward, mode.backward) = (false, false));
    }

    /// Starts a partition with resets: established connections are closed and new ones refused, as
    /// if nobody listened.
    pub fn refuse(&self) {
        self.update(|mode| {
            mode.refuse = true;
            mode.epoch += 1;
        });
    }

    /// Starts a one-way partition: only bytes from the target are relayed.
    pub fn block_forward(&self) {
        self.update(|mode| (mode.forward, mode.backward) = (false, true));
    }

    /// Starts a one-way partition: only bytes to the target are relayed.
    pub fn block_backward(&self) {
        self.update(|mode| (mode.forward, mode.backward) = (true, false));
    }

    /// Sets the delay of every chunk of bytes in both directions.
    pub fn delay(&self, delay: Duration) {
        self.update(|mode| mode.delay = delay);
    }

    /// Closes all connections.
    pub fn reset(&self) {
        self.update(|mode| mode.epoch += 1);
    }

    /// Ends all faults, and closes the connections affected by a partition.
    pub fn heal(&self) {
        self.update(|mode| {
            mode.epoch += u64::from(!mode.forward || !mode.backward);
            (mode.forward, mode.backward, mode.delay) = (true, true, Duration::ZERO);
            mode.refuse = false;
        });
    }

    fn update(&self, change: impl FnOnce(&mut Mode)) {
        self.mode.send_modify(change);
    }

    async fn run(self, mut listener: TcpListener, target: SocketAddr) {
        let mut mode = self.mode.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => Some(accepted),
                _ = mode.wait_for(|mode| mode.refuse) => None,
            };
            match accepted {
                Some(Ok((inbound, _))) => {
                    let relay = self.clone();
                    tokio::spawn(async move { relay.relay_connection(inbound, target).await });
                }
                Some(Err(_)) => {}
                None => {
                    drop(listener);
                    let socket = self.reserve_port().expect("the relay's port is free");
                    let _ = mode.wait_for(|mode| !mode.refuse).await;
                    listener = socket.listen(BACKLOG).expect("a bound socket can listen");
                }
            }
        }
    }

    /// Returns a socket that keeps the port and refuses connections, as it doesn't listen.
    fn reserve_port(&self) -> std::io::Result<TcpSocket> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        Ok(socket)
    }

    async fn relay_connection(&self, inbound: TcpStream, target: SocketAddr) {
        let mut mode = self.mode.subscribe();
        let Mode { epoch, refuse, .. } = *mode.borrow();
        if refuse {
            return;
        }
        // During a partition the connection stays open without traffic; `heal` closes it.
        if mode.wait_for(|mode| mode.forward).await.is_err() || mode.borrow().epoch != epoch {
            return;
        }
        let Ok(outbound) = TcpStream::connect(target).await else {
            return;
        };
        let _ = inbound.set_nodelay(true);
        let _ = outbound.set_nodelay(true);
        let (from_caller, to_caller) = inbound.into_split();
        let (from_target, to_target) = outbound.into_split();
        let epoch_ended = async { mode.wait_for(|mode| mode.epoch != epoch).await.is_err() };
        tokio::select! {
            () = self.copy(from_caller, to_target, |mode| mode.forward) => {}
            () = self.copy(from_target, to_caller, |mode| mode.backward) => {}
            _ = epoch_ended => {}
        }
    }

    /// Copies bytes in one direction until either side closes. Pauses while `open` is false.
    async fn copy(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        open: impl Fn(&Mode) -> bool,
    ) {
        let mut mode = self.mode.subscribe();
        let mut bytes = vec![0; CHUNK_BYTES];
        while let Ok(count) = from.read(&mut bytes).await {
            if count == 0 {
                return;
            }
            let delay = mode.borrow().delay;
            tokio::time::sleep(delay).await;
            if mode.wait_for(&open).await.is_err() || to.write_all(&bytes[..count]).await.is_err() {
                return;
            }
        }
    }
}
