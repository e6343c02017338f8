use crate::clock::Time;
use crate::name::{DataCentre, Host};
use crate::ticket::{Home, Incarnation};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Description of an entry host from the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host.
    pub host: Host,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address of its listener for peers, `ip:port`.
    pub address: String,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// Contents of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Whether the sender is draining and accepts no new work.
    pub draining: bool,
    /// Address of the sender's listener for operators, if any.
    pub operators: Option<SocketAddr>,
}

/// Assumed state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// A recent heartbeat was received.
    Alive,
    /// A recent heartbeat was received, and the host accepts no new work.
    Draining,
    /// No recent heartbeat was received.
    Unresponsive,
}

/// This host's view of all entry hosts.
///
/// Views differ between hosts, so they may decide where work goes, but never whether it may start.
#[derive(Clone, Debug)]
pub struct View {
    own: Home,
    /// Time without a heartbeat after which a host is unresponsive.
    timeout: Duration,
    entries: BTreeMap<Host, ListedHost>,
    /// Latest heartbeat of each host, and the time at which it was received.
    heartbeats: BTreeMap<Host, (Heartbeat, Time)>,
    /// Whether this host is draining.
    draining: bool,
}

impl View {
    /// Creates a view of this host only. Other hosts are unresponsive after `timeout` without a
    /// heartbeat.
    pub fn new(own: Home, timeout: Duration) -> Self {
        View {
            own,
            timeout,
            entries: BTreeMap::new(),
            heartbeats: BTreeMap::new(),
            draining: false,
        }
    }

    /// Replaces the list of entry hosts.
    pub fn update(&mut self, listed: impl IntoIterator<Item = ListedHost>) {
        self.entries = listed.into_iter().map(|entry| (entry.host.clone(), entry)).collect();
        let entries = &self.entries;
        self.heartbeats.retain(|host, _| entries.contains_key(host));
    }

    /// Records a heartbeat, or the reply to one. One of an earlier incarnation than the last known
    /// arrives late and is ignored.
    pub fn record_heartbeat(&mut self, host: &Host, heartbeat: Heartbeat, now: Time) {
        if self.incarnation(host).is_some_and(|known| known > heartbeat.incarnation) {
            return;
        }
        self.heartbeats.insert(host.clone(), (heartbeat, now));
    }

    /// Records that a host refused a connection, so that it is unresponsive at once.
    pub fn mark_unreachable(&mut self, host: &Host) {
        self.heartbeats.remove(host);
    }

    /// Marks this host as draining.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the assumed state of a host.
    pub fn state(&self, host: &Host, now: Time) -> HostState {
        if *host == self.own.host {
            return if self.draining { HostState::Draining } else { HostState::Alive };
        }
        let listed_leaving = self.entries.get(host).is_some_and(|entry| entry.leaving);
        match self.heartbeats.get(host) {
            Some((heartbeat, at)) if now.since(*at) <= self.timeout => {
                if heartbeat.draining || listed_leaving {
                    HostState::Draining
                } else {
                    HostState::Alive
                }
            }
            _ => HostState::Unresponsive,
        }
    }

    /// Returns the last known incarnation of a host.
    pub fn incarnation(&self, host: &Host) -> Option<Incarnation> {
        if *host == self.own.host {
            return Some(self.own.incarnation);
        }
        self.heartbeats.get(host).map(|(heartbeat, _)| heartbeat.incarnation)
    }

    /// Returns the last known address of a host's listener for operators.
    pub fn operators(&self, host: &Host) -> Option<SocketAddr> {
        self.heartbeats.get(host).and_then(|(heartbeat, _)| heartbeat.operators)
    }

    /// All listed hosts except this one.
    pub fn peers(&self) -> impl Iterator<Item = &ListedHost> {
        self.entries.values().filter(|entry| entry.host != self.own.host)
    }

    /// Returns the entry of a host in the platform's list.
    pub fn entry(&self, host: &Host) -> Option<&ListedHost> {
        self.entries.get(host)
    }

    /// Hosts of this data centre that accept new work, including this one unless it is draining.
    pub fn accepting_hosts(&self, now: Time) -> Vec<Host> {
        let mut hosts: Vec<Host> = self
            .peers()
            .filter(|entry| entry.data_centre == self.own.data_centre)
            .filter(|entry| self.state(&entry.host, now) == HostState::Alive)
            .map(|entry| entry.host.clone())
            .collect();
        if !self.draining {
            hosts.push(self.own.host.clone());
        }
        hosts.sort();
        hosts
    }

    /// Whether a host is in the same data centre as this one.
    pub fn is_same_data_centre(&self, host: &Host) -> bool {
        let entry = self.entries.get(host);
        entry.is_some_and(|entry| entry.data_centre == self.own.data_centre)
    }
}
