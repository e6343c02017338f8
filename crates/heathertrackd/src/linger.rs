//! Ends connections on which a request was not read to its end, so that its response isn't lost.
//!
//! A socket that is closed with unread bytes resets the connection, and the client may then lose the
//! response before it has read it (RFC 9112, section 9.6).

use hyper::Response;
use hyper::header::CONNECTION;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// Most bytes that are read after the last response on a connection.
const MAX_LINGER_BYTES: usize = 16 << 20;
/// Longest time that a connection is read after its last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the buffer for bytes that are discarded.
const CHUNK_BYTES: usize = 8 << 10;

/// Tells a [`Stream`] that its client may still be sending when it is closed.
#[derive(Clone, Debug, Default)]
pub struct Switch(Arc<AtomicBool>);

impl Switch {
    /// Lets the stream linger if a response announces that the connection closes.
    pub fn observe<B>(&self, response: &Response<B>) {
        if response.headers().contains_key(CONNECTION) {
            self.0.store(true, Ordering::Relaxed);
        }
    }
}

/// Connection that, after its sending side is closed, can be read until the client closes it too.
#[derive(Debug)]
pub struct Stream<S> {
    inner: S,
    switch: Switch,
    is_shut_down: bool,
    discarded: usize,
    /// Ends the lingering; `None` before it begins.
    end: Option<Pin<Box<Sleep>>>,
}

impl<S> Stream<S> {
    /// Wraps a connection. It lingers only if the switch is on when it is closed.
    pub fn new(inner: S, switch: Switch) -> Self {
        Stream { inner, switch, is_shut_down: false, discarded: 0, end: None }
    }
}

impl<S: AsyncRead + Unpin> Stream<S> {
    /// Reads until the client closes the connection, or a limit is reached.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let end = self.end.get_or_insert_with(|| Box::pin(sleep(LINGER_TIMEOUT)));
        if end.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut bytes = [0; CHUNK_BYTES];
        while self.discarded < MAX_LINGER_BYTES {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.inner).poll_read(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                break;
            }
            self.discarded += buffer.filled().len();
        }
        Poll::Ready(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.is_shut_down {
            ready!(Pin::new(&mut self.inner).poll_shutdown(cx))?;
            self.is_shut_down = true;
        }
        if self.switch.0.load(Ordering::Relaxed) {
            ready!(self.poll_linger(cx));
        }
        Poll::Ready(Ok(()))
    }
}
