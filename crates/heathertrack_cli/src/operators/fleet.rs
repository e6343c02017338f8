use super::fetch_status;
use futures::future::join_all;
use heathertrack_wire::status::Status;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;

/// The entry hosts, discovered from a few given addresses.
///
/// Each host that responds reports the other entry hosts on the platform's list.
#[derive(Debug)]
pub struct Fleet {
    seeds: Vec<SocketAddr>,
    /// Reported hosts, with their operators' address if one was reported.
    reported: BTreeMap<String, Option<SocketAddr>>,
}

/// Revision of a list in force on a host.
#[derive(Debug)]
pub struct HostRevision {
    host: String,
    /// Revision in force. `None` if the host is unresponsive.
    pub revision: Option<u64>,
}

impl HostRevision {
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
    pub fn new(seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        Fleet { seeds: seeds.into_iter().collect(), reported: BTreeMap::new() }
    }

    /// Returns the revisions of a list on all hosts, including those reported by other hosts.
    pub async fn revisions(&mut self, list: &str) -> Vec<HostRevision> {
        let mut asked: HashSet<SocketAddr> = HashSet::new();
        let mut revisions: BTreeMap<String, Option<u64>> = BTreeMap::new();
        loop {
            let addresses: Vec<SocketAddr> = self.not_asked(&asked);
            if addresses.is_empty() {
                break;
            }
            asked.extend(&addresses);
            // The hosts are queried concurrently, so that a hanging one does not delay the others.
            for (address, answer) in join_all(addresses.into_iter().map(try_fetch_status)).await {
                match answer {
                    Some(status) => {
                        self.add_hosts(&status);
                        revisions.insert(status.host.clone(), Some(revision_of(&status, list)));
                    }
                    // Added below under its name.
                    None if self.is_reported(&address) => {}
                    None => {
                        revisions.insert(address.to_string(), None);
                    }
                }
            }
        }
        for host in self.reported.keys() {
            revisions.entry(host.clone()).or_insert(None);
        }
        revisions.into_iter().map(|(host, revision)| HostRevision { host, revision }).collect()
    }

    /// Returns the known addresses that are not in `asked`.
    fn not_asked(&self, asked: &HashSet<SocketAddr>) -> Vec<SocketAddr> {
        let all: BTreeSet<SocketAddr> =
            self.seeds.iter().chain(self.reported.values().flatten()).copied().collect();
        all.into_iter().filter(|address| !asked.contains(address)).collect()
    }

    fn is_reported(&self, address: &SocketAddr) -> bool {
        self.reported.values().flatten().any(|known| known == address)
    }

    /// Records the hosts that a host reports. A reported address replaces the known one.
    fn add_hosts(&mut self, status: &Status) {
        for host in &status.hosts {
            let known = self.reported.entry(host.name.clone()).or_default();
            *known = host.operators.or(*known);
        }
    }
}

/// Returns the address with the status of its host, or `None` if the host does not answer.
async fn try_fetch_status(address: SocketAddr) -> (SocketAddr, Option<Status>) {
    (address, fetch_status(&address).await.ok())
}

fn revision_of(status: &Status, list: &str) -> u64 {
    match list {
        "plans" => status.plans.revision,
        _ => status.allowances.revision,
    }
}
