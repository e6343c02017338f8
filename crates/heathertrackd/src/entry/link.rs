//! Links between entry hosts: one connection for each pair of hosts that need one.

mod dial;
mod heartbeat;
mod outbox;
mod peer;

pub use outbox::Outbox;

use super::boot_clock::Clock;
use super::frame::{Envelope, Frame, Hello};
use super::node::{EntryHost, Environment};
use super::transport::{Transport, serve_all};
use crate::intake::Guard;
use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use heathertrack::membership::TransitEstimate;
use heathertrack::membership::links::{self, FAST_HEARTBEAT_PERIOD};
use heathertrack::name::Host;
use heathertrack_platform::{Changes, Item};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Timeout of sending a message to a peer that reads too slowly, and of the first message from it.
const PEER_TIMEOUT: Duration = Duration::from_millis(350);
/// Maximum size of a message; the largest is a copy of the items of the store.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Maximum size of the first message, in which a host introduces itself.
const MAX_HELLO_BYTES: usize = 4 << 10;

/// Accepts connections of peers, and dials hosts to which a link is missing.
pub fn spawn<E: Environment>(
    entry: &Rc<EntryHost<E>>,
    listener: <E::Transport as Transport>::Listener,
) {
    let accepting = entry.clone();
    let serve = move |stream, guard| run_link(accepting.clone(), stream, Some(guard));
    serve_all(entry.environment.transport(), listener, &entry.intakes.peers, serve);
    spawn_local(dial::run(entry.clone()));
    spawn_local(heartbeat::run(entry.clone()));
}

/// One link from the handshake until the connection ends.
struct Link<E: Environment> {
    entry: Rc<EntryHost<E>>,
    framed: Framed<<E::Transport as Transport>::Stream, LengthDelimitedCodec>,
    transit: Cell<TransitEstimate>,
}

/// Runs a link until its connection ends. `stranger` is the place of its connection among those that
/// have not introduced themselves; without one, this host has opened the connection.
async fn run_link<E: Environment>(
    entry: Rc<EntryHost<E>>,
    stream: <E::Transport as Transport>::Stream,
    stranger: Option<Guard>,
) {
    let dialled = stranger.is_none();
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_HELLO_BYTES).new_codec();
    let framed = Framed::new(stream, codec);
    let mut link = Link { entry: entry.clone(), framed, transit: Cell::default() };
    let Some(hello) = link.exchange_hello(dialled).await else { return };
    drop(stranger);
    link.framed.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    let host = Host::new(hello.name.clone());
    let (outbox, queue, overflow) = Outbox::open();
    let Some(link_number) = entry.add_peer(hello, dialled, outbox) else { return };
    let why = tokio::select! {
        biased;
        () = overflow.notified() => "its queue of messages is full",
        why = link.serve(&host, link_number, queue) => why,
    };
    entry.remove_peer(&host, link_number, why);
}

impl<E: Environment> Link<E> {
    /// Identifies this host to the peer. Returns the peer's identity, or `None` if the handshake
    /// fails or the peer needs no further link.
    ///
    /// The host that dialled identifies itself last: the record whose address it dialled may be out
    /// of date or wrong, and a peer that is already linked would replace that link by this one.
    async fn exchange_hello(&mut self, dialled: bool) -> Option<Hello> {
        if !dialled {
            self.send_hello().await?;
        }
        let (frame, _) = timeout(PEER_TIMEOUT, self.receive()).await.ok()??;
        let Frame::Hello(hello) = frame else { return None };
        if hello.name == self.entry.record.name.as_str() {
            return None;
        }
        if dialled {
            if self.entry.is_linked_to(&hello) {
                return None;
            }
            self.send_hello().await?;
        }
        Some(hello)
    }

    async fn send_hello(&mut self) -> Option<()> {
        let hello = Frame::Hello(Hello::new(&self.entry.record, self.entry.incarnation));
        self.send(hello).await.ok()
    }

    async fn send(&mut self, frame: Frame) -> Result<(), &'static str> {
        let bytes = self.encode(frame)?;
        let sent = timeout(PEER_TIMEOUT, self.framed.send(bytes)).await;
        sent.map_err(|_| "the peer does not read its messages")?
            .map_err(|_| "the connection failed")
    }

    fn encode(&self, frame: Frame) -> Result<Bytes, &'static str> {
        let envelope =
            Envelope { sent_us: self.entry.environment.clock().now().as_micros(), frame };
        let bytes = postcard::to_stdvec(&envelope).map_err(|_| "a message cannot be encoded")?;
        Ok(Bytes::from(bytes))
    }

    /// Returns the next message and its estimated transit time, or `None` if the connection has
    /// ended or the message cannot be decoded.
    async fn receive(&mut self) -> Option<(Frame, Duration)> {
        let bytes: BytesMut = self.framed.next().await?.ok()?;
        let envelope: Envelope = postcard::from_bytes(&bytes).ok()?;
        let now_us = self.entry.environment.clock().now().as_micros();
        let mut transit = self.transit.get();
        let transit_time = transit.record(envelope.sent_us, now_us);
        self.transit.set(transit);
        Some((envelope.frame, transit_time))
    }

    /// Sends and receives messages until the link ends. Returns the reason for its end.
    async fn serve(
        &mut self,
        host: &Host,
        link_number: u64,
        mut queue: mpsc::Receiver<Frame>,
    ) -> &'static str {
        let mut last_received = Instant::now();
        let mut silence_timeout = links::heartbeat_timeout(FAST_HEARTBEAT_PERIOD);
        let first = Frame::Heartbeat(self.entry.heartbeat().with_period(FAST_HEARTBEAT_PERIOD));
        if let Err(why) = self.send(first).await {
            return why;
        }
        loop {
            tokio::select! {
                // Messages that have arrived are read before the link is declared unresponsive.
                biased;
                received = self.receive() => {
                    let Some((frame, transit_time)) = received else {
                        return "the connection was closed";
                    };
                    last_received = Instant::now();
                    if let Frame::Heartbeat(heartbeat) = &frame {
                        silence_timeout = links::heartbeat_timeout(heartbeat.period());
                    }
                    self.handle(host, link_number, frame, transit_time);
                }
                frame = queue.recv() => {
                    // The queue is closed when the peer is removed from the state.
                    let Some(frame) = frame else { return "the link was removed" };
                    if let Err(why) = self.send_all(frame, &mut queue).await {
                        return why;
                    }
                }
                () = sleep_until(last_received + silence_timeout) => {
                    return "the peer is unresponsive";
                }
            }
        }
    }

    /// Sends a message and all that are queued behind it, and flushes the connection once.
    async fn send_all(
        &mut self,
        first: Frame,
        queue: &mut mpsc::Receiver<Frame>,
    ) -> Result<(), &'static str> {
        let mut frame = first;
        while let Ok(next) = queue.try_recv() {
            let bytes = self.encode(frame)?;
            let fed = timeout(PEER_TIMEOUT, self.framed.feed(bytes)).await;
            fed.map_err(|_| "the peer does not read its messages")?
                .map_err(|_| "the connection failed")?;
            frame = next;
        }
        self.send(frame).await
    }

    fn handle(&self, host: &Host, link_number: u64, frame: Frame, transit_time: Duration) {
        let entry = &self.entry;
        match frame {
            // Only the first message of a link identifies the peer.
            Frame::Hello(_) => {}
            Frame::Heartbeat(heartbeat) => entry.handle_heartbeat(host, &heartbeat),
            Frame::Submit(submit) => {
                entry.handle_submit(host, link_number, submit, transit_time);
            }
            Frame::Cancel { call } => entry.handle_cancel(host, call),
            Frame::Ended { call, how } => {
                let job = entry.state.borrow_mut().remote_jobs.remove(&call);
                if let Some(job) = job {
                    // The caller may have disconnected; then the outcome is discarded.
                    let _ = job.reply.send(how.into());
                }
            }
            Frame::RequestItems { after, all } => entry.handle_items_request(host, after, all),
            Frame::Items { items, revision } => {
                let items = items.into_iter().map(Item::from).collect();
                entry.apply_changes(Changes { items, revision });
            }
            Frame::Handover { upstreams } => entry.handle_handover(upstreams),
            Frame::Losses { losses } => entry.handle_losses(losses, false),
            Frame::DoubtfulLosses { losses } => entry.handle_losses(losses, true),
            Frame::Rosters { rosters } => entry.handle_rosters(host, link_number, rosters),
            Frame::CancelJob { search, id } => entry.handle_cancel_job(host, search, &id),
            Frame::CancelAnswer { search, holding } => {
                entry.handle_cancel_answer(host, search, holding);
            }
            Frame::Cancelled { jobs } => entry.handle_cancelled(&jobs),
        }
    }
}
