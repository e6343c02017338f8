use crate::clock::Time;
use crate::name::{DataCentre, Host};
use crate::ticket::{Home, Incarnation};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// An entry host as the platform's list names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub host: Host,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address of its peers' listener, `ip:port`.
    pub address: String,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}

/// What a heartbeat said of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heard {
    /// The sending process.
    pub incarnation: Incarnation,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Its address for operators, if it told one.
    pub operators: Option<SocketAddr>,
}

/// What is believed of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It was heard lately.
    Alive,
    /// It was heard lately and takes no new work.
    Draining,
    /// It was not heard lately.
    Silent,
}

/// This host's view of all entry hosts.
///
/// Views differ between hosts and decide only where work goes, never whether it may start.
#[derive(Clone, Debug)]
pub struct View {
    own: Home,
    timeout: Duration,
    entries: BTreeMap<Host, Entry>,
    heard: BTreeMap<Host, (Heard, Time)>,
    draining: bool,
}

impl View {
    /// Knows only its own host; others count as silent once unheard for `timeout`.
    pub fn new(own: Home, timeout: Duration) -> Self {
        View { own, timeout, entries: BTreeMap::new(), heard: BTreeMap::new(), draining: false }
    }

    /// Takes a new list of entry hosts.
    pub fn update(&mut self, listed: impl IntoIterator<Item = Entry>) {
        self.entries = listed.into_iter().map(|entry| (entry.host.clone(), entry)).collect();
        let entries = &self.entries;
        self.heard.retain(|host, _| entries.contains_key(host));
    }

    /// Notes a heartbeat, or an answer to one. A late one of an earlier process is left out.
    pub fn hear(&mut self, host: &Host, heard: Heard, now: Time) {
        if self.incarnation(host).is_some_and(|known| known > heard.incarnation) {
            return;
        }
        self.heard.insert(host.clone(), (heard, now));
    }

    /// Notes that nobody listens at a host's address.
    pub fn refuse(&mut self, host: &Host) {
        self.heard.remove(host);
    }

    /// Notes that this host takes no new work.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// What is believed of a host.
    pub fn state(&self, host: &Host, now: Time) -> State {
        if *host == self.own.host {
            return if self.draining { State::Draining } else { State::Alive };
        }
        let listed_leaving = self.entries.get(host).is_some_and(|entry| entry.leaving);
        match self.heard.get(host) {
            Some((heard, at)) if now.since(*at) <= self.timeout => {
                if heard.draining || listed_leaving { State::Draining } else { State::Alive }
            }
            _ => State::Silent,
        }
    }

    /// The process last heard at a host.
    pub fn incarnation(&self, host: &Host) -> Option<Incarnation> {
        if *host == self.own.host {
            return Some(self.own.incarnation);
        }
        self.heard.get(host).map(|(heard, _)| heard.incarnation)
    }

    /// The address for operators that was last heard of a host.
    pub fn operators(&self, host: &Host) -> Option<SocketAddr> {
        self.heard.get(host).and_then(|(heard, _)| heard.operators)
    }

    /// The other listed hosts.
    pub fn peers(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| entry.host != self.own.host)
    }

    /// A listed host.
    pub fn entry(&self, host: &Host) -> Option<&Entry> {
        self.entries.get(host)
    }

    /// Hosts of this data centre that take new work, this one included unless it drains.
    pub fn workers(&self, now: Time) -> Vec<Host> {
        let mut hosts: Vec<Host> = self
            .peers()
            .filter(|entry| entry.data_centre == self.own.data_centre)
            .filter(|entry| self.state(&entry.host, now) == State::Alive)
            .map(|entry| entry.host.clone())
            .collect();
        if !self.draining {
            hosts.push(self.own.host.clone());
        }
        hosts.sort();
        hosts
    }

    /// Whether a host is in this data centre.
    pub fn is_near(&self, host: &Host) -> bool {
        let entry = self.entries.get(host);
        entry.is_some_and(|entry| entry.data_centre == self.own.data_centre)
    }
}
