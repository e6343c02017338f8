use crate::CallError;
use heathertrack::name::{DataCentre, Host, Upstream};
use heathertrack::pool::upstream;
use heathertrack::routes::RouteTable;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// An item of the metadata store, as it was at a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key of the item.
    pub key: String,
    /// Revision of the store at which the item was last changed; every change in the store
    /// increases it.
    pub revision: u64,
    /// Stored value; `None` if the item was removed.
    pub value: Option<Vec<u8>>,
}

/// Changed items, complete up to `revision`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Changed items.
    pub items: Vec<Item>,
    /// Revision after which to continue watching.
    pub revision: u64,
}

/// Kind of record that a key holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyKind {
    /// The operators' configuration.
    Configuration,
    /// The operators' request to evacuate a data centre, which holds until the item is removed.
    Evacuation(DataCentre),
    /// An upstream.
    Upstream(Upstream),
    /// An entry host.
    Host(Host),
    /// A record that the daemon does not use.
    Other,
}

impl KeyKind {
    /// Returns whether the operators write such records.
    pub fn is_operators(&self) -> bool {
        matches!(self, KeyKind::Configuration | KeyKind::Evacuation(_))
    }
}

/// Decoded value of an item.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodedItem {
    /// The operators' configuration, as far as the daemon uses it.
    Configuration(RouteTable),
    /// The operators' request to evacuate a data centre.
    Evacuation(DataCentre),
    /// An upstream.
    Upstream(upstream::Record),
    /// An entry host.
    Host(HostRecord),
}

/// Record that an entry host publishes for the others.
#[derive(Clone, Debug, PartialEq)]
pub struct HostRecord {
    /// Name of the host.
    pub name: Host,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Listen address for other entry hosts.
    pub peers: SocketAddr,
    /// CPU available to the host, in cores.
    pub cpu_share: f64,
}

/// Identifier of a lease in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// A host's record as it was written to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Lease with which the record expires.
    pub lease: LeaseId,
    /// Revision of the store at which the record was written.
    pub revision: u64,
}

/// Error of a watch.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WatchError {
    /// The store has discarded some changes after the given revision, so all items have to be read
    /// again.
    #[error("the store no longer has the history after this revision")]
    Compacted,
    /// The call failed.
    #[error(transparent)]
    Call(#[from] CallError),
}

/// The platform's metadata store, with the configuration, the upstreams and the hosts.
pub trait MetadataStore: Clone + 'static {
    /// Reads the configuration, all other requests of the operators and the records of hosts, which are
    /// far fewer than those of upstreams. The revision is one up to which they are complete.
    fn read_directory(&self) -> impl Future<Output = Result<Changes, CallError>>;

    /// Reads all items.
    fn read_all(&self) -> impl Future<Output = Result<Changes, CallError>>;

    /// Waits up to `wait` for changes after a revision. Without any, the result has no items.
    fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, WatchError>>;

    /// Waits up to `wait` for changes of the operators' configuration and requests after a revision.
    fn watch_operators(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, WatchError>>;

    /// Writes this host's record under a lease that expires `ttl` after its last renewal.
    fn register(
        &self,
        host: &HostRecord,
        ttl: Duration,
    ) -> impl Future<Output = Result<Registration, CallError>>;

    /// Renews a lease. Returns false if it no longer exists.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<bool, CallError>>;

    /// Revokes a lease, which removes this host's record.
    fn revoke_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), CallError>>;

    /// Returns which kind of record a key holds.
    fn key_kind(&self, key: &str) -> KeyKind;

    /// Decodes the value of a key; the error says what is wrong with the value or the key.
    fn decode(&self, key: &str, value: &[u8]) -> Result<DecodedItem, String>;
}
