use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Pause after a connection could not be accepted, as descriptors may have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// How a host's connections are made.
pub trait Net: Clone + 'static {
    /// A connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// Takes connections at an address.
    type Listener: 'static;

    /// Listens at an address.
    fn listen(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>>;

    /// Takes the next connection.
    fn accept(&self, listener: &Self::Listener) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Connects to an address.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// Serves all connections that come in, each in a task of its own.
pub(super) fn serve_all<N: Net, S: Future<Output = ()> + 'static>(
    net: &N,
    listener: N::Listener,
    serve: impl Fn(N::Stream) -> S + 'static,
) {
    let net = net.clone();
    spawn_local(async move {
        loop {
            match net.accept(&listener).await {
                Ok(stream) => {
                    spawn_local(serve(stream));
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    });
}

/// TCP.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Net for Tcp {
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
