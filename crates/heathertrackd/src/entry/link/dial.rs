//! Opens missing links, and closes links that neither end needs.

use super::run_link;
use crate::entry::boot_clock::Clock;
use crate::entry::node::{EntryHost, Environment};
use crate::entry::state::Peer;
use crate::entry::transport::Transport;
use heathertrack::membership::links::Relation;
use heathertrack::name::Host;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// Longest pause between checks for missing links.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Timeout of a connection attempt.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Initial backoff after a failed attempt to connect to an address; it doubles with each attempt.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Longest backoff between attempts to connect to an address.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);
/// Head start of the host with the smaller name, so that two hosts do not dial each other at once.
const DIAL_HEAD_START: Duration = Duration::from_millis(500);

/// Time after which an unused link is closed. It covers restarts: the former dispatchers are back
/// within seconds.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(10);

/// For each address, the time of the next attempt and the backoff that follows it.
type Attempts = BTreeMap<SocketAddr, (Instant, Duration)>;

pub(super) async fn run<E: Environment>(entry: Rc<EntryHost<E>>) {
    let mut attempts = Attempts::new();
    let started = Instant::now();
    let mut unlinked_since: BTreeMap<Host, Instant> = BTreeMap::new();
    loop {
        let now = Instant::now();
        for address in
            entry.addresses_to_dial(&mut unlinked_since, now, now < started + DIAL_HEAD_START)
        {
            let (due, backoff) = attempts.get(&address).copied().unwrap_or((now, MIN_BACKOFF));
            if now < due {
                continue;
            }
            attempts.insert(address, (now + backoff, (backoff * 2).min(MAX_BACKOFF)));
            let entry = entry.clone();
            spawn_local(async move {
                // A failed attempt is repeated after the backoff.
                if let Ok(Ok(stream)) =
                    timeout(DIAL_TIMEOUT, entry.environment.transport().connect(address)).await
                {
                    run_link(entry.clone(), stream, None).await;
                }
            });
        }
        // The next attempt after a link has ended starts with the shortest backoff.
        let linked: Vec<SocketAddr> =
            entry.state.borrow().peers.values().map(|peer| peer.record.peers).collect();
        attempts.retain(|address, _| !linked.contains(address));
        entry.close_unused_links();
        // The check follows whether the pause elapsed or was cut short.
        let _ = timeout(CHECK_PERIOD, entry.wake_dialler.notified()).await;
    }
}

impl<E: Environment> EntryHost<E> {
    /// Returns the addresses that this host has to dial now. `unlinked_since` holds the hosts that
    /// need a link and lack it, with the time since when.
    fn addresses_to_dial(
        &self,
        unlinked_since: &mut BTreeMap<Host, Instant>,
        now: Instant,
        has_just_started: bool,
    ) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let seeds = self.seeds.borrow();
        let mut addresses = Vec::new();
        unlinked_since.retain(|host, _| state.hosts.contains_key(host));
        for (host, record) in &state.hosts {
            let is_needed =
                state.link_relation(&self.record, record, &seeds).needs_link(state.hosts.len());
            let is_own = *host == self.record.name || record.peers == self.record.peers;
            if is_own || !is_needed || state.is_reached(record) {
                unlinked_since.remove(host);
                continue;
            }
            let since = *unlinked_since.entry(host.clone()).or_insert(now);
            // Other hosts learn of a host that has just started only at their next read of the
            // store.
            if has_just_started || self.record.name < *host || now >= since + DIAL_HEAD_START {
                addresses.push(record.peers);
            }
        }
        if !has_just_started {
            let known = |seed: &&SocketAddr| {
                **seed == self.record.peers
                    || state.hosts.values().any(|host| host.peers == **seed)
                    || state.peers.values().any(|peer| peer.record.peers == **seed)
            };
            addresses.extend(seeds.iter().filter(|seed| !known(seed)));
        }
        addresses
    }

    /// Closes links that neither end has needed for [`UNUSED_TIMEOUT`].
    fn close_unused_links(self: &Rc<Self>) {
        let now = self.environment.clock().now();
        let unused: Vec<(Host, u64)> = {
            let mut state = self.state.borrow_mut();
            let hosts = state.hosts.len();
            let seeds = self.seeds.borrow();
            let relation = |peer: &Peer| state.link_relation(&self.record, &peer.record, &seeds);
            let relations: Vec<Relation> = state.peers.values().map(relation).collect();
            // Only the host that dialled closes a link, because only it knows whether its settings
            // name the other host.
            let peers = state.peers.iter_mut().zip(relations).filter(|((_, peer), _)| peer.dialled);
            let unused = peers.filter_map(|((host, peer), relation)| {
                if relation.needs_link(hosts) {
                    peer.unused_since = None;
                    return None;
                }
                let since = *peer.unused_since.get_or_insert(now);
                (now.since(since) >= UNUSED_TIMEOUT).then(|| (host.clone(), peer.link_number))
            });
            unused.collect()
        };
        for (host, link) in unused {
            self.remove_peer(&host, link, "unused: neither end needs the link");
        }
    }
}
