use crate::clock::Time;
use std::time::Duration;

/// Minimum time between two requests, to whichever peer. A response may hold a large configuration,
/// and several at once would saturate the network link of a small host.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// Time that the store gets to deliver what a peer already has, before a peer is asked.
const STORE_DELIVERY_TIME: Duration = Duration::from_millis(800);
/// Additional delay before a peer in another data centre is asked.
const REMOTE_PEER_DELAY: Duration = Duration::from_millis(300);

/// Decides when a host that has older items than a peer asks that peer for them.
///
/// Bounds the traffic when a large configuration reaches many hosts at once: most get it from the
/// store. Only hosts to which the store does not deliver it ask, and only one peer at a time.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    /// Time of the first report of newer items since this host last had them all.
    behind_since: Option<Time>,
    /// Time of the last request to any peer.
    last_request: Option<Time>,
}

impl CatchUp {
    /// Whether to ask a peer with newer items for them now; if so, records the request.
    ///
    /// `store_failing` means that the store is unresponsive, `same_data_centre` that the peer is in
    /// the same data centre.
    pub fn should_ask(&mut self, store_failing: bool, same_data_centre: bool, now: Time) -> bool {
        let behind_for = now.since(*self.behind_since.get_or_insert(now));
        let delay = if store_failing { Duration::ZERO } else { STORE_DELIVERY_TIME };
        let delay = if same_data_centre { delay } else { delay + REMOTE_PEER_DELAY };
        let requested_recently =
            self.last_request.is_some_and(|at| now.since(at) < MIN_REQUEST_INTERVAL);
        if behind_for < delay || requested_recently {
            return false;
        }
        self.last_request = Some(now);
        true
    }

    /// Records that this host has all items of its peers.
    pub fn mark_caught_up(&mut self) {
        self.behind_since = None;
    }
}
