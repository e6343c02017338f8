use super::status;
use futures::future::join_all;
use heathertrack_wire::status::Status;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;

/// All entry hosts, as far as some of them are known.
///
/// Only a few need to be named: each host that answers tells of those that the platform lists.
#[derive(Debug)]
pub struct Fleet {
    named: Vec<SocketAddr>,
    /// Every host that was told of, with its address for operators if one was heard.
    known: BTreeMap<String, Option<SocketAddr>>,
}

/// What one host has in force.
#[derive(Debug)]
pub struct Revision {
    host: String,
    /// Revision of the list; `None` if the host does not answer.
    pub revision: Option<u64>,
}

impl Revision {
    /// The host, with what is there.
    pub fn label(&self) -> String {
        match self.revision {
            Some(revision) => format!("{} (revision {revision})", self.host),
            None => format!("{} (does not answer)", self.host),
        }
    }
}

impl Fleet {
    /// Knows only the hosts at these addresses.
    pub fn new(named: impl IntoIterator<Item = SocketAddr>) -> Self {
        Fleet { named: named.into_iter().collect(), known: BTreeMap::new() }
    }

    /// Revisions of a list on all hosts, those that others tell of included.
    pub async fn revisions(&mut self, list: &str) -> Vec<Revision> {
        let mut asked: HashSet<SocketAddr> = HashSet::new();
        let mut revisions: BTreeMap<String, Option<u64>> = BTreeMap::new();
        loop {
            let round: Vec<SocketAddr> = self.not_in(&asked);
            if round.is_empty() {
                break;
            }
            asked.extend(&round);
            // Together, so that one that hangs does not hold up the others' answers.
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

    /// Addresses that were not asked yet.
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
