//! The operators' configuration: which requests are which kind of job.
//!
//! ```
//! use heathertrack::routes::{Route, Table};
//!
//! let route = Route { host: "shop.example".into(), prefix: "/quote/".into(), ..Route::default() };
//! let table = Table::new(1, vec![route], Default::default());
//! assert!(table.find("shop.example", "/quote/17").is_some());
//! assert!(table.find("shop.example", "/other/17").is_none());
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Grows with every change.
    pub version: u64,
    /// All routes, by the host that they name in lower case: there may be thousands.
    routes: BTreeMap<String, Vec<Route>>,
    /// Bounds of requests.
    pub limits: Limits,
}

/// Requests of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Name of the kind.
    pub name: Arc<str>,
    /// Host that the request names.
    pub host: Arc<str>,
    /// What its path begins with.
    pub prefix: Arc<str>,
    /// The pool of upstreams that runs it.
    pub service: Arc<str>,
    /// Zero is the most urgent.
    pub priority: u32,
    /// A task that has failed this often fails its job.
    pub max_attempts: u32,
    /// The objective is this multiple of the work's duration ...
    pub stretch: f64,
    /// ... and this much more.
    pub extra: Duration,
    /// Longest time to an answer.
    pub timeout: Option<Duration>,
    /// Whether its jobs may run on any upstream of the pool without asking an adviser.
    pub needs_advice: bool,
}

/// Bounds of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time within which a request's head has to be there.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Bounds that hold while the configuration names none: those of common HTTP servers.
impl Default for Limits {
    fn default() -> Self {
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 256 << 10,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Table {
    /// A version with these routes.
    pub fn new(version: u64, routes: impl IntoIterator<Item = Route>, limits: Limits) -> Self {
        let mut by_host: BTreeMap<String, Vec<Route>> = BTreeMap::new();
        for route in routes {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Table { version, routes: by_host, limits }
    }

    /// The route of a request: the one with the longest prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        self.routes.get(&host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
