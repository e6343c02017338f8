//! Detects that processes which hold seats are gone.

use crate::state::State;
use heathertrack::clock::Time;
use heathertrack::membership::HostState;
use heathertrack::name::Host;
use heathertrack::share::Holder;
use heathertrack::ticket::Incarnation;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time after which a host that the platform no longer lists is known to have been stopped.
const GONE_AFTER_UNLISTED: Duration = Duration::from_secs(60);
/// Timeout of a connection attempt; an attempt that times out proves nothing.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Collects proofs that processes are gone. An unresponsive process may still run, so that alone
/// is no proof.
#[derive(Debug, Default)]
pub struct GoneDetector {
    /// Hosts that refused the last connection attempt, as nobody listens at their address.
    refused: Vec<Host>,
    /// Incarnation of the process last seen on each host.
    last_incarnation: BTreeMap<Host, Incarnation>,
    /// Time at which each host was last on the platform's list.
    last_listed: BTreeMap<Host, Time>,
    /// Time at which a list was first seen; a host never listed counts as listed until then.
    first_list_at: Option<Time>,
}

impl GoneDetector {
    /// Probes every listed peer that is unresponsive by opening a new connection to it.
    pub async fn probe(&mut self, state: &State) {
        let now = state.now();
        let unresponsive = self.observe_view(state, now);
        self.refused.clear();
        for (host, address) in unresponsive {
            if refuses_connections(&address).await {
                self.refused.push(host);
            }
        }
    }

    /// Records the hosts and incarnations of the view. Returns the unresponsive peers with their
    /// addresses.
    fn observe_view(&mut self, state: &State, now: Time) -> Vec<(Host, String)> {
        let view = state.view();
        let mut unresponsive = Vec::new();
        for entry in view.peers() {
            self.last_listed.insert(entry.host.clone(), now);
            self.first_list_at.get_or_insert(now);
            if let Some(incarnation) = view.incarnation(&entry.host) {
                self.last_incarnation.insert(entry.host.clone(), incarnation);
            }
            if view.state(&entry.host, now) == HostState::Unresponsive {
                unresponsive.push((entry.host.clone(), entry.address.clone()));
            }
        }
        unresponsive
    }

    /// Returns whether a process is proved to be gone.
    pub fn proves_gone(&self, holder: &Holder, now: Time) -> bool {
        let refused = self.refused.contains(&holder.host);
        let replaced =
            self.last_incarnation.get(&holder.host).is_some_and(|last| *last > holder.incarnation);
        refused || replaced || self.is_long_unlisted(&holder.host, now)
    }

    fn is_long_unlisted(&self, host: &Host, now: Time) -> bool {
        let Some(first_list_at) = self.first_list_at else {
            return false;
        };
        let listed = self.last_listed.get(host).copied().unwrap_or(first_list_at);
        now.since(listed) >= GONE_AFTER_UNLISTED
    }
}

/// Returns whether nobody listens at an address. The kernel still accepts connections for a process
/// that is only suspended.
async fn refuses_connections(address: &str) -> bool {
    let attempt = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(attempt, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
