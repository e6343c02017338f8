//! Opens missing links, and closes links that neither end needs.

use super::run;
use crate::entry::boot_clock::Clock;
use crate::entry::net::Net;
use crate::entry::node::{Entry, Environment};
use crate::entry::state::Peer;
use heathertrack::membership::links::Bond;
use heathertrack::name::Host;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Pause between checks for missing links.
const DIAL_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of a connection attempt.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Initial backoff after a failed attempt to connect to an address; it doubles with each attempt.
const DIAL_RETRY: Duration = Duration::from_millis(200);
/// Longest backoff between attempts to connect to an address.
const DIAL_LONGEST: Duration = Duration::from_millis(1_600);
/// Head start of the host with the smaller name, so that two hosts do not dial each other at once.
const DIAL_TURN: Duration = Duration::from_millis(500);

/// Time after which an unused link is closed. It covers restarts: the former dispatchers are back
/// within seconds.
const UNUSED: Duration = Duration::from_secs(10);

/// For each address, the time of the next attempt and the backoff that follows it.
type Attempts = BTreeMap<SocketAddr, (Instant, Duration)>;

pub(super) async fn dial<E: Environment>(entry: Rc<Entry<E>>) {
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
                // A failed attempt is repeated after the backoff.
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
        entry.end_unused_links();
        sleep(DIAL_PAUSE).await;
    }
}

impl<E: Environment> Entry<E> {
    /// Returns the addresses that this host has to dial now.
    fn undialled(
        &self,
        unlinked: &mut BTreeMap<Host, Instant>,
        now: Instant,
        newcomer: bool,
    ) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let seeds = self.seeds.borrow();
        let mut addresses = Vec::new();
        unlinked.retain(|host, _| state.hosts.contains_key(host));
        for (host, record) in &state.hosts {
            let wanted = state.bond(&self.record, record, &seeds).is_wanted(state.hosts.len());
            if *host == self.record.name || state.peers.contains_key(host) || !wanted {
                unlinked.remove(host);
                continue;
            }
            let since = *unlinked.entry(host.clone()).or_insert(now);
            // Other hosts learn of a host that has just started only at their next read of the
            // store.
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
            addresses.extend(seeds.iter().filter(|seed| !known(seed)));
        }
        addresses
    }

    /// Closes links that neither end has needed for [`UNUSED`].
    fn end_unused_links(self: &Rc<Self>) {
        let now = self.environment.clock().now();
        let unused: Vec<(Host, u64)> = {
            let mut state = self.state.borrow_mut();
            let hosts = state.hosts.len();
            let seeds = self.seeds.borrow();
            let bond = |peer: &Peer| state.bond(&self.record, &peer.record, &seeds);
            let bonds: Vec<Bond> = state.peers.values().map(bond).collect();
            // Only the host that dialled closes a link, because only it knows whether its settings
            // name the other host.
            let peers = state.peers.iter_mut().zip(bonds).filter(|((_, peer), _)| peer.dialled);
            let unused = peers.filter_map(|((host, peer), bond)| {
                if bond.is_wanted(hosts) {
                    peer.unused_since = None;
                    return None;
                }
                let since = *peer.unused_since.get_or_insert(now);
                (now.since(since) >= UNUSED).then(|| (host.clone(), peer.link))
            });
            unused.collect()
        };
        for (host, link) in unused {
            self.remove_peer(&host, link, "neither end dispatches");
        }
    }
}
