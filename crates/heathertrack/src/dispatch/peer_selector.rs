use super::{Load, Needs};
use crate::name::Host;
use std::collections::BTreeMap;
use std::time::Duration;

/// Dispatcher chosen for a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// The dispatcher of this host.
    Local,
    /// The dispatcher of a peer in the same data centre.
    Peer(Host),
    /// No known dispatcher has an upstream that can hold the task.
    Nowhere,
}

/// Chooses between the dispatchers of this host and of its peers by their last reported loads.
///
/// A task sent to a peer is added to that peer's reported load until a newer report arrives.
#[derive(Debug)]
pub struct PeerSelector {
    peers: BTreeMap<Host, Load>,
    hop_delay: Duration,
}

impl PeerSelector {
    /// Creates a selector without peers; `hop_delay` is the delay of sending a task to a peer.
    pub fn new(hop_delay: Duration) -> Self {
        PeerSelector { peers: BTreeMap::new(), hop_delay }
    }

    /// Replaces the reported load of a peer.
    pub fn update_load(&mut self, peer: &Host, load: Load) {
        self.peers.insert(peer.clone(), load);
    }

    /// Removes all peers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Host) -> bool) {
        self.peers.retain(|host, _| keep(host));
    }

    /// Last reported loads, by peer.
    pub fn peers(&self) -> impl Iterator<Item = (&Host, &Load)> {
        self.peers.iter()
    }

    /// Peers whose last report has queued tasks.
    pub fn peers_with_backlog(&self) -> Vec<Host> {
        let with_backlog = self.peers.iter().filter(|(_, load)| load.queued > 0);
        with_backlog.map(|(host, _)| host.clone()).collect()
    }

    /// Records that free slots were offered to a peer: its queue counts as empty until the next
    /// report.
    pub fn mark_offered(&mut self, peer: &Host) {
        if let Some(load) = self.peers.get_mut(peer) {
            load.queued = 0;
        }
    }

    /// Chooses the target with the earliest expected finish among those that can hold the task,
    /// and adds the task to the target's load.
    ///
    /// `local` is the load of this host.
    pub fn choose(&mut self, local: &mut Load, expected: Duration, needs: &Needs) -> Target {
        let local_finish =
            local.expected_finish(expected, needs).map(|finish| (finish, Target::Local));
        let peer_finishes = self.peers.iter().filter_map(|(host, load)| {
            let finish = load.expected_finish(expected, needs)?;
            Some((finish + self.hop_delay, Target::Peer(host.clone())))
        });
        // `min_by_key` returns the first minimum, so a tie goes to this host.
        let best = local_finish.into_iter().chain(peer_finishes).min_by_key(|(finish, _)| *finish);
        let Some((_, target)) = best else {
            return Target::Nowhere;
        };
        match &target {
            Target::Peer(host) => {
                if let Some(load) = self.peers.get_mut(host) {
                    load.add(expected, needs);
                }
            }
            _ => local.add(expected, needs),
        }
        target
    }
}
