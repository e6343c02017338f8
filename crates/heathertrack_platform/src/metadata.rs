use crate::Fault;
use heathertrack::name::{DataCentre, Host, Upstream};
use heathertrack::pool::upstream;
use heathertrack::routes::Table;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// An item of the platform's store, as it was at a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// The change that made it so; grows with every change in the store.
    pub revision: u64,
    /// What is stored; `None` if it was removed.
    pub value: Option<Vec<u8>>,
}

/// Items that have changed, and up to which revision nothing else has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The items.
    pub items: Vec<Item>,
    /// The revision to go on from.
    pub revision: u64,
}

/// What a key is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The operators' configuration.
    Configuration,
    /// An upstream.
    Upstream(Upstream),
    /// An entry host.
    Host(Host),
    /// Something that the daemon doesn't use.
    Other,
}

/// What an item says.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// The operators' configuration.
    Configuration(Table),
    /// An upstream.
    Upstream(upstream::Record),
    /// An entry host.
    Host(HostRecord),
}

/// What an entry host tells the others of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct HostRecord {
    /// Its name.
    pub name: Host,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it takes connections of other entry hosts.
    pub peers: SocketAddr,
    /// Share of a core that it has.
    pub cpu_share: f64,
}

/// Names a lease in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseKey(pub u64);

/// Why changes could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadFault {
    /// The store has forgotten the changes after that revision: read everything again.
    #[error("the store no longer has the history after this revision")]
    Forgotten,
    /// The call failed.
    #[error(transparent)]
    Call(#[from] Fault),
}

/// The platform's store of configuration, upstreams and hosts.
pub trait Metadata: Clone + 'static {
    /// Reads everything.
    fn read(&self) -> impl Future<Output = Result<Changes, Fault>>;

    /// Waits up to `wait` for changes after a revision.
    fn changes(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, ReadFault>>;

    /// Waits up to `wait` for changes of the operators' configuration after a revision.
    fn configuration(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, ReadFault>>;

    /// Writes this host's record under a lease that ends `ttl` after its last renewal.
    fn announce(
        &self,
        host: &HostRecord,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseKey, Fault>>;

    /// Renews a lease. Gives whether it was still there.
    fn renew(&self, lease: LeaseKey) -> impl Future<Output = Result<bool, Fault>>;

    /// Ends a lease, and with it this host's record.
    fn withdraw(&self, lease: LeaseKey) -> impl Future<Output = Result<(), Fault>>;

    /// What a key is about.
    fn subject(&self, key: &str) -> Subject;

    /// What an item says; the error names what can't be understood.
    fn decode(&self, key: &str, value: &[u8]) -> Result<Fact, String>;
}
