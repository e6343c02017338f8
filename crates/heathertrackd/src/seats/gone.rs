use crate::state::State;
use heathertrack::clock::Time;
use heathertrack::membership::State as Standing;
use heathertrack::name::Host;
use heathertrack::share::Holder;
use heathertrack::ticket::Incarnation;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::net::TcpStream;

/// A host that the platform has not listed for this long was stopped.
const UNLISTED: Duration = Duration::from_secs(60);
/// Time after which a connection attempt tells nothing.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Proofs that processes are gone. Silence is none.
#[derive(Debug, Default)]
pub struct Gone {
    /// Hosts at whose address nobody listens.
    refused: Vec<Host>,
    /// Hosts and the process that answers there.
    running: BTreeMap<Host, Incarnation>,
    /// When each host was last on the platform's list.
    last_listed: BTreeMap<Host, Time>,
    /// When a list was first seen; a host never listed counts as listed until then.
    first_list: Option<Time>,
}

impl Gone {
    /// Looks at every listed peer that is silent, by a connection of its own.
    pub async fn look(&mut self, state: &State) {
        let now = state.now();
        let silent = self.look_at_view(state, now);
        self.refused.clear();
        for (host, address) in silent {
            if refuses(&address).await {
                self.refused.push(host);
            }
        }
    }

    /// Takes in the view; gives the silent peers with their addresses.
    fn look_at_view(&mut self, state: &State, now: Time) -> Vec<(Host, String)> {
        let view = state.view();
        let mut silent = Vec::new();
        for entry in view.peers() {
            self.last_listed.insert(entry.host.clone(), now);
            self.first_list.get_or_insert(now);
            if let Some(incarnation) = view.incarnation(&entry.host) {
                self.running.insert(entry.host.clone(), incarnation);
            }
            if view.state(&entry.host, now) == Standing::Silent {
                silent.push((entry.host.clone(), entry.address.clone()));
            }
        }
        silent
    }

    /// Whether a process is proved to be gone.
    pub fn proves(&self, holder: &Holder, now: Time) -> bool {
        let refused = self.refused.contains(&holder.host);
        let replaced =
            self.running.get(&holder.host).is_some_and(|running| *running > holder.incarnation);
        refused || replaced || self.is_long_unlisted(&holder.host, now)
    }

    fn is_long_unlisted(&self, host: &Host, now: Time) -> bool {
        let Some(first_list) = self.first_list else {
            return false;
        };
        let listed = self.last_listed.get(host).copied().unwrap_or(first_list);
        now.since(listed) >= UNLISTED
    }
}

/// Whether nobody listens at an address. A stopped process's kernel still takes connections.
async fn refuses(address: &str) -> bool {
    let attempt = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(attempt, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
