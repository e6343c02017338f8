//! Interfaces to the platform and clients for its services.
//!
//! [`Store`] is a key-value store and [`HostList`] a list of hosts. Both are small traits, so that
//! another platform needs one new file for each. [`Etcd`] uses the published JSON form of the etcd
//! v3 API, [`HttpHostList`] fetches one JSON document.
//!
//! [`MetadataStore`], [`UpstreamClient`] and [`CallerProtocol`] are the interfaces of a platform
//! whose upstreams run tasks under leases: its metadata store, the upstreams' run API and the
//! callers' protocol.
//!
//! ```no_run
//! use heathertrack_platform::{Etcd, Store, Swap};
//!
//! # async fn example() -> Result<(), heathertrack_platform::CallError> {
//! let store = Etcd::new(["127.0.0.1:2379".parse().unwrap()]);
//! let swap = Swap { key: "/greeting".into(), expected: 0, value: b"hello".to_vec() };
//! store.swap(vec![swap]).await?;
//! # Ok(())
//! # }
//! ```

mod caller_protocol;
mod error;
mod etcd;
mod host_list;
mod host_settings;
mod http;
mod metadata_store;
mod store;
mod upstream_client;

pub use caller_protocol::{CallerProtocol, JobRequest, Submission};
pub use error::CallError;
pub use etcd::Etcd;
pub use host_list::{HostList, HttpHostList};
pub use host_settings::HostSettings;
pub use http::Client;
pub use metadata_store::{
    Changes, DecodedItem, HostRecord, Item, KeyKind, LeaseId, MetadataStore, Registration,
    WatchError,
};
pub use store::{Store, Swap, SwapResult, Value};
pub use upstream_client::{Poll, StartOrder, UpstreamClient};
