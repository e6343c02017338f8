//! Links between entry hosts.

use super::boot_clock::Clock;
use super::frame::{Beat, Copied, Envelope, Frame, Hello};
use super::net::Net;
use super::node::{Entry, Environment};
use super::state::{Peer, Reply};
use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use heathertrack::name::Host;
use heathertrack::pool::Load;
use heathertrack::pool::job::Outcome;
use heathertrack_platform::{Changes, HostRecord, Item};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Time without a message after which a peer is taken for gone (docs/design/platform.md).
const SILENCE: Duration = Duration::from_millis(350);
/// Period of signs of life.
const BEAT: Duration = Duration::from_millis(100);
/// Shortest time between two tellings of a changed load, to a few peers.
const LOAD_BEAT: Duration = Duration::from_millis(20);
/// What is added to that for each peer beyond a few, so that large fleets don't drown in it.
const LOAD_BEAT_EACH: Duration = Duration::from_millis(2);
/// Pause between looks for hosts without a link.
const DIAL_PAUSE: Duration = Duration::from_millis(100);
/// Time that a connection attempt may take.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a failed attempt to one address, doubled up to the longest.
const DIAL_RETRY: Duration = Duration::from_millis(200);
/// Longest pause between attempts to one address.
const DIAL_LONGEST: Duration = Duration::from_millis(1_600);
/// Head start of the host with the smaller name, so that two hosts don't dial each other at once.
const DIAL_TURN: Duration = Duration::from_millis(500);
/// Longest time that a message may have been under way; an older job may already be elsewhere.
const STALE: Duration = Duration::from_millis(250);
/// Messages that may wait for a slow peer.
const QUEUE: usize = 1_024;
/// Largest message: a copy of the store's items.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// Takes peers' connections, and dials hosts without a link.
pub fn spawn<E: Environment>(entry: &Rc<Entry<E>>, listener: <E::Net as Net>::Listener) {
    let accepting = entry.clone();
    spawn_local(async move {
        loop {
            match accepting.environment.net().accept(&listener).await {
                Ok(stream) => {
                    spawn_local(run(accepting.clone(), stream, false));
                }
                Err(_) => sleep(DIAL_PAUSE).await,
            }
        }
    });
    spawn_local(dial(entry.clone()));
    spawn_local(beat(entry.clone()));
}

/// When an address is tried next, and how long the pause after that is.
type Attempts = BTreeMap<SocketAddr, (Instant, Duration)>;

async fn dial<E: Environment>(entry: Rc<Entry<E>>) {
    let mut attempts = Attempts::new();
    let started = Instant::now();
    let mut unlinked: BTreeMap<Host, Instant> = BTreeMap::new();
    loop {
        let now = Instant::now();
        for address in entry.undialled(&mut unlinked, now, now < started + DIAL_TURN) {
            let (due, pause) = attempts.get(&address).copied().unwrap_or((now, DIAL_RETRY));
            if now < due {
                continue;
            }
            attempts.insert(address, (now + pause, (pause * 2).min(DIAL_LONGEST)));
            let entry = entry.clone();
            spawn_local(async move {
                // An attempt that fails is made again.
                if let Ok(Ok(stream)) =
                    timeout(DIAL_TIMEOUT, entry.environment.net().connect(address)).await
                {
                    run(entry.clone(), stream, true).await;
                }
            });
        }
        let linked: Vec<SocketAddr> =
            entry.state.borrow().peers.values().map(|peer| peer.record.peers).collect();
        attempts.retain(|address, _| !linked.contains(address));
        sleep(DIAL_PAUSE).await;
    }
}

impl<E: Environment> Entry<E> {
    /// Addresses of hosts that it is this host's turn to dial.
    fn undialled(
        &self,
        unlinked: &mut BTreeMap<Host, Instant>,
        now: Instant,
        newcomer: bool,
    ) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let mut addresses = Vec::new();
        unlinked.retain(|host, _| state.hosts.contains_key(host));
        for (host, record) in &state.hosts {
            if *host == self.record.name || state.peers.contains_key(host) {
                unlinked.remove(host);
                continue;
            }
            let since = *unlinked.entry(host.clone()).or_insert(now);
            // Others learn of a host that has just started only when they ask the store again.
            if newcomer || self.record.name < *host || now >= since + DIAL_TURN {
                addresses.push(record.peers);
            }
        }
        if !newcomer {
            let known = |seed: &&SocketAddr| {
                **seed == self.record.peers
                    || state.hosts.values().any(|host| host.peers == **seed)
                    || state.peers.values().any(|peer| peer.record.peers == **seed)
            };
            addresses.extend(self.seeds.borrow().iter().filter(|seed| !known(seed)));
        }
        addresses
    }

    /// What this host tells of itself.
    fn beat(&self) -> Beat {
        let state = self.state.borrow();
        let beat = Beat {
            leaving: state.leaving,
            dispatches: state.dispatches,
            revision: state.mirror.revision(),
            version: state.version(),
            cores: 0.0,
            busy: 0.0,
            waiting: 0.0,
            waiting_jobs: 0,
            places: 0,
        };
        beat.with_load(&state.pool.load(self.environment.clock().now()))
    }

    /// Tells all peers what this host believes of itself.
    pub(super) fn tell_peers(&self) {
        let beat = self.beat();
        self.tell(&beat);
    }

    fn tell(&self, beat: &Beat) {
        for (host, peer) in &self.state.borrow().peers {
            if peer.frames.try_send(Frame::Beat(beat.clone())).is_err() {
                self.journal.link_full(host);
            }
        }
    }
}

/// Tells peers of this host's load: soon after it has changed, and at a steady period.
async fn beat<E: Environment>(entry: Rc<Entry<E>>) {
    let mut told = Instant::now();
    let mut last: Option<Beat> = None;
    loop {
        let peers = entry.state.borrow().peers.len() as u32;
        let pause = (LOAD_BEAT + LOAD_BEAT_EACH * peers.saturating_sub(10)).min(BEAT);
        sleep(pause).await;
        let beat = entry.beat();
        let now = Instant::now();
        if last.as_ref() != Some(&beat) || now >= told + BEAT {
            entry.tell(&beat);
            told = now;
            last = Some(beat);
        }
    }
}

/// One link, until it ends.
struct Link<E: Environment> {
    entry: Rc<Entry<E>>,
    framed: Framed<<E::Net as Net>::Stream, LengthDelimitedCodec>,
    /// Least difference between the clocks, in microseconds: that of the fastest message.
    offset_us: Cell<i64>,
}

async fn run<E: Environment>(entry: Rc<Entry<E>>, stream: <E::Net as Net>::Stream, dialled: bool) {
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    let framed = Framed::new(stream, codec);
    let mut link = Link { entry: entry.clone(), framed, offset_us: Cell::new(i64::MAX) };
    let Some(hello) = link.greet().await else { return };
    let incarnation = hello.incarnation;
    let record = HostRecord::from(hello);
    let host = record.name.clone();
    if host == entry.record.name {
        return;
    }
    let (frames, queue) = mpsc::channel(QUEUE);
    let preferred = dialled == (entry.record.name < host);
    let Some(number) = entry.add_peer(record, incarnation, preferred, frames) else { return };
    let why = link.serve(&host, queue).await;
    entry.remove_peer(&host, number, why);
}

impl<E: Environment> Link<E> {
    async fn greet(&mut self) -> Option<Hello> {
        let hello = Frame::Hello(Hello::new(&self.entry.record, self.entry.incarnation));
        self.send(hello).await.ok()?;
        let (frame, _) = timeout(SILENCE, self.receive()).await.ok()??;
        let Frame::Hello(hello) = frame else { return None };
        Some(hello)
    }

    async fn send(&mut self, frame: Frame) -> Result<(), &'static str> {
        let bytes = self.encode(frame)?;
        let sent = timeout(SILENCE, self.framed.send(bytes)).await;
        sent.map_err(|_| "it doesn't read")?.map_err(|_| "the connection broke")
    }

    fn encode(&self, frame: Frame) -> Result<Bytes, &'static str> {
        let envelope =
            Envelope { sent_us: self.entry.environment.clock().now().as_micros(), frame };
        let bytes = postcard::to_stdvec(&envelope).map_err(|_| "a message can't be encoded")?;
        Ok(Bytes::from(bytes))
    }

    /// The next message, and how long it was under way.
    async fn receive(&mut self) -> Option<(Frame, Duration)> {
        let bytes: BytesMut = self.framed.next().await?.ok()?;
        let envelope: Envelope = postcard::from_bytes(&bytes).ok()?;
        let now = self.entry.environment.clock().now().as_micros() as i64;
        let difference = now - envelope.sent_us as i64;
        self.offset_us.set(self.offset_us.get().min(difference));
        let age = u64::try_from(difference - self.offset_us.get()).unwrap_or_default();
        Some((envelope.frame, Duration::from_micros(age)))
    }

    /// Carries messages both ways. Gives why the link ended.
    async fn serve(&mut self, host: &Host, mut queue: mpsc::Receiver<Frame>) -> &'static str {
        let mut heard = Instant::now();
        let first = Frame::Beat(self.entry.beat());
        if let Err(why) = self.send(first).await {
            return why;
        }
        loop {
            tokio::select! {
                // What has arrived goes before the conclusion that nothing did.
                biased;
                received = self.receive() => {
                    let Some((frame, age)) = received else { return "the connection ended" };
                    heard = Instant::now();
                    self.take(host, frame, age);
                }
                frame = queue.recv() => {
                    let Some(frame) = frame else { return "another link replaced it" };
                    if let Err(why) = self.send_all(frame, &mut queue).await {
                        return why;
                    }
                }
                () = sleep_until(heard + SILENCE) => return "it was silent",
            }
        }
    }

    async fn send_all(
        &mut self,
        first: Frame,
        queue: &mut mpsc::Receiver<Frame>,
    ) -> Result<(), &'static str> {
        let mut frame = first;
        while let Ok(next) = queue.try_recv() {
            let bytes = self.encode(frame)?;
            let fed = timeout(SILENCE, self.framed.feed(bytes)).await;
            fed.map_err(|_| "it doesn't read")?.map_err(|_| "the connection broke")?;
            frame = next;
        }
        self.send(frame).await
    }

    fn take(&self, host: &Host, frame: Frame, age: Duration) {
        let entry = &self.entry;
        match frame {
            Frame::Hello(_) => {}
            Frame::Beat(beat) => entry.take_beat(host, &beat),
            Frame::Submit(submit) => entry.take_submit(host, submit, age),
            Frame::Cancel { call } => entry.take_cancel(host, call),
            Frame::Ended { call, how } => {
                let handed = entry.state.borrow_mut().calls.remove(&call);
                if let Some(handed) = handed {
                    // A caller that has left needs no answer.
                    let _ = handed.reply.send(how.into());
                }
            }
            Frame::Ask { after } => entry.answer_items(host, after),
            Frame::Items { items, revision } => {
                let items = items.into_iter().map(Item::from).collect();
                entry.take_changes(Changes { items, revision }, false);
            }
        }
    }
}

impl<E: Environment> Entry<E> {
    /// Takes a link for the one to a host, unless there is a better one to the same process.
    fn add_peer(
        self: &Rc<Self>,
        record: HostRecord,
        incarnation: u64,
        preferred: bool,
        frames: mpsc::Sender<Frame>,
    ) -> Option<u64> {
        let host = record.name.clone();
        let is_better =
            |peer: &Peer| peer.incarnation == incarnation && peer.preferred && !preferred;
        if self.state.borrow().peers.get(&host).is_some_and(is_better) {
            return None;
        }
        let number = {
            let mut state = self.state.borrow_mut();
            state.next_call += 1;
            state.next_call
        };
        let replaced = self.state.borrow().peers.get(&host).map(|peer| peer.link);
        if let Some(replaced) = replaced {
            self.remove_peer(&host, replaced, "another link replaced it");
        }
        let peer = Peer {
            link: number,
            record: record.clone(),
            frames,
            incarnation,
            preferred,
            leaving: false,
            dispatches: false,
            load: Load::default(),
            handed_cores: 0.0,
            revision: 0,
            version: 0,
            jobs: BTreeMap::new(),
        };
        let mut state = self.state.borrow_mut();
        state.peers.insert(host.clone(), peer);
        state.hosts.insert(host.clone(), record);
        state.owners_stale = true;
        self.journal.peer_found(&host);
        Some(number)
    }

    fn remove_peer(self: &Rc<Self>, host: &Host, link: u64, why: &str) {
        let now = self.now();
        let (jobs, calls, planned) = {
            let mut state = self.state.borrow_mut();
            if state.peers.get(host).map(|peer| peer.link) != Some(link) {
                return;
            }
            let Some(peer) = state.peers.remove(host) else { return };
            state.owners_stale = true;
            let handed: Vec<u64> = state
                .calls
                .iter()
                .filter(|(_, handed)| handed.host == *host)
                .map(|(call, _)| *call)
                .collect();
            let calls: Vec<_> =
                handed.into_iter().filter_map(|call| state.calls.remove(&call)).collect();
            (peer.jobs, calls, peer.leaving)
        };
        self.journal.peer_lost(host, why, jobs.len(), calls.len());
        for handed in calls {
            // A caller that has left needs no answer.
            let _ = handed.reply.send(Outcome::MayHaveRun("its dispatcher is gone"));
        }
        {
            let mut state = self.state.borrow_mut();
            state.pool.abandon(jobs.into_values(), now);
            if !planned {
                state.pool.stop_foreign(now);
            }
        }
        self.carry_out();
        self.update_owners();
    }

    fn take_beat(self: &Rc<Self>, host: &Host, beat: &Beat) {
        let now = self.now();
        let own = self.state.borrow().mirror.revision();
        let mut state = self.state.borrow_mut();
        let own_version = state.version();
        let behind = state.store_failed.is_some_and(|failed| now.since(failed) < SILENCE * 4);
        let Some(peer) = state.peers.get_mut(host) else { return };
        let changed = peer.leaving != beat.leaving || peer.dispatches != beat.dispatches;
        peer.leaving = beat.leaving;
        peer.dispatches = beat.dispatches;
        peer.load = beat.load();
        peer.handed_cores = 0.0;
        peer.revision = beat.revision;
        peer.version = beat.version;
        let near = peer.record.data_centre == self.record.data_centre;
        let frames = peer.frames.clone();
        let newer = beat.version > own_version || (behind && beat.revision > own);
        if newer
            && state.catch_up.asks(behind, near, now)
            && frames.try_send(Frame::Ask { after: own }).is_err()
        {
            self.journal.link_full(host);
        }
        if changed {
            state.owners_stale = true;
            drop(state);
            self.update_owners();
        }
    }

    fn take_submit(self: &Rc<Self>, host: &Host, submit: super::frame::Submit, age: Duration) {
        let now = self.now();
        let call = submit.call;
        if age > STALE {
            let why = "the message was under way for too long";
            let how = (&Outcome::NotRun { retry_after: Duration::from_secs(1), why }).into();
            self.send_to(host, Frame::Ended { call, how });
            return;
        }
        {
            let mut state = self.state.borrow_mut();
            let key = state.pool.submit(submit.into_request(now), now);
            state.replies.insert(key, Reply::Peer(host.clone(), call));
            if let Some(peer) = state.peers.get_mut(host) {
                peer.jobs.insert(call, key);
            }
        }
        self.carry_out();
    }

    fn take_cancel(self: &Rc<Self>, host: &Host, call: u64) {
        let job = {
            let mut state = self.state.borrow_mut();
            state.peers.get_mut(host).and_then(|peer| peer.jobs.remove(&call))
        };
        if let Some(job) = job {
            self.state.borrow_mut().replies.remove(&job);
            self.with_pool(|pool, now| pool.cancel(job, now));
        }
    }

    fn answer_items(&self, host: &Host, after: u64) {
        let changes = self.state.borrow().mirror.after(after);
        let items = changes.items.iter().map(Copied::from).collect();
        self.send_to(host, Frame::Items { items, revision: changes.revision });
    }

    fn send_to(&self, host: &Host, frame: Frame) {
        let state = self.state.borrow();
        let Some(peer) = state.peers.get(host) else { return };
        if peer.frames.try_send(frame).is_err() {
            self.journal.link_full(host);
        }
    }
}
