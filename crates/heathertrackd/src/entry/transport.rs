use crate::intake::{Guard, Intake};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

/// Pause after a failed accept, as the process may have run out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Transport of the connections of a host.
pub trait Transport: Clone + 'static {
    /// Established connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// Listening socket.
    type Listener: 'static;

    /// Listens on an address.
    fn listen(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>>;

    /// Accepts the next connection.
    fn accept(&self, listener: &Self::Listener) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Connects to an address.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// Accepts connections, and serves each in its own task until it has to give way in the intake.
pub(super) fn serve_all<N: Transport, S: Future<Output = ()> + 'static>(
    transport: &N,
    listener: N::Listener,
    intake: &Intake,
    serve: impl Fn(N::Stream, Guard) -> S + Clone + 'static,
) {
    let (transport, intake) = (transport.clone(), intake.clone());
    spawn_local(async move {
        loop {
            match transport.accept(&listener).await {
                Ok(stream) => {
                    let Some(connection) = intake.admit() else { continue };
                    let serve = serve.clone();
                    spawn_local(connection.serve(move |guard| serve(stream, guard)));
                    if intake.is_full() {
                        // Those that give way are closed before the next one is accepted.
                        yield_now().await;
                    }
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    });
}

/// Transport over TCP.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpTransport;

impl Transport for TcpTransport {
    type Stream = TcpStream;
    type Listener = TcpListener;

    async fn listen(&self, address: SocketAddr) -> io::Result<TcpListener> {
        TcpListener::bind(address).await
    }

    async fn accept(&self, listener: &TcpListener) -> io::Result<TcpStream> {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}
