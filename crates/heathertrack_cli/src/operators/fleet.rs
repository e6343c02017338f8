use super::status;
use futures::future::join_all;
use heathertrack_wire::status::Status;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;

/// The entry hosts, discovered from a few given addresses.
///
/// Each host that responds reports the other entry hosts on the platform's list.
#[derive(Debug)]
pub struct Fleet {
    named: Vec<SocketAddr>,
    /// Reported hosts, with their operators' address if one was reported.
    known: BTreeMap<String, Option<SocketAddr>>,
}

/// Revision of a list in force on a host.
#[derive(Debug)]
pub struct Revision {
    host: String,
    /// Revision in force. `None` if the host is unresponsive.
    pub revision: Option<u64>,
}

impl Revision {
    /// Returns the host and its revision as text.
    pub fn label(&self) -> String {
        match self.revision {
            Some(revision) => format!("{} (revision {revision})", self.host),
            None => format!("{} (does not answer)", self.host),
        }
    }
}

impl Fleet {
    /// Creates a fleet that only knows the hosts at these addresses.
    pub fn new(named: impl IntoIterator<Item = SocketAddr>) -> Self {
        Fleet { named: named.into_iter().collect(), known: BTreeMap::new() }
    }

    /// Returns the revisions of a list on all hosts, including those reported by other hosts.
    pub async fn revisions(&mut self, list: &str) -> Vec<Revision> {
        let mut asked: HashSet<SocketAddr> = HashSet::new();
        let mut revisions: BTreeMap<String, Option<u64>> = BTreeMap::new();
        loop {
            let round: Vec<SocketAddr> = self.not_in(&asked);
            if round.is_empty() {
                break;
            }
            asked.extend(&round);
            // The hosts are queried concurrently, so that a hanging one does not delay the others.
            for (address, answer) in join_all(round.into_iter().map(ask)).await {
                match answer {
                    Some(status) => {
                        self.learn(&status);
                        revisions.insert(status.host.clone(), Some(revision_of(&status, list)));
                    }
                    None if self.is_known(&address) => {}
                    None => {
                        revisions.insert(address.to_string(), None);
                    }
                }
            }
        }
        for host in self.known.keys() {
            revisions.entry(host.clone()).or_insert(None);
        }
        revisions.into_iter().map(|(host, revision)| Revision { host, revision }).collect()
    }

    /// Returns the known addresses that are not in `asked`.
    fn not_in(&self, asked: &HashSet<SocketAddr>) -> Vec<SocketAddr> {
        let all: BTreeSet<SocketAddr> =
            self.named.iter().chain(self.known.values().flatten()).copied().collect();
        all.into_iter().filter(|address| !asked.contains(address)).collect()
    }

    fn is_known(&self, address: &SocketAddr) -> bool {
        self.known.values().flatten().any(|known| known == address)
    }

    fn learn(&mut self, status: &Status) {
        for host in &status.hosts {
            let known = self.known.entry(host.name.clone()).or_default();
            *known = host.operators.or(*known);
        }
    }
}

async fn ask(address: SocketAddr) -> (SocketAddr, Option<Status>) {
    (address, status(&address).await.ok())
}

fn revision_of(status: &Status, list: &str) -> u64 {
    match list {
        "plans" => status.plans.revision,
        _ => status.allowances.revision,
    }
}
