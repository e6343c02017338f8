//! Connects to hosts without a link.

use super::run;
use crate::entry::net::Net;
use crate::entry::node::{Entry, Environment};
use heathertrack::name::Host;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

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

/// When an address is tried next, and how long the pause after that is.
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
}
