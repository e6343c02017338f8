//! Routing table from the operators' configuration: maps a request to its route, which says how the
//! request's job is run.
//!
//! ```
//! use heathertrack::routes::{Route, RouteTable};
//!
//! let route = Route { host: "shop.example".into(), prefix: "/quote/".into(), ..Route::default() };
//! let table = RouteTable::new(1, vec![route], Default::default());
//! assert!(table.find("shop.example", "/quote/17").is_some());
//! assert!(table.find("shop.example", "/other/17").is_none());
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// One version of the routing configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version number; it grows with every change.
    pub version: u64,
    /// Routes by host name in lower case, longest prefix first. A map, as there may be thousands of
    /// routes.
    routes: BTreeMap<String, Vec<Route>>,
    /// Limits on requests.
    pub limits: Limits,
}

/// Matches requests by host and path, and says how their jobs are run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Name of the route, which is the class of its jobs.
    pub name: Arc<str>,
    /// Host that the request names, without a port.
    pub host: Arc<str>,
    /// Prefix of the request's path.
    pub prefix: Arc<str>,
    /// Service whose upstreams run the jobs.
    pub service: Arc<str>,
    /// Priority of the jobs; zero is the most urgent.
    pub priority: u32,
    /// Number of failed runs of one task that fails its job.
    pub max_attempts: u32,
    /// Factor of a job's objective, the time within which the caller wants the answer: the declared
    /// duration of its longest chain of dependent steps times `objective_factor`, plus
    /// `objective_offset`.
    pub objective_factor: f64,
    /// Constant part of a job's objective.
    pub objective_offset: Duration,
    /// Time after which the caller stops waiting, unless the request states one. If neither does, a
    /// default applies.
    pub timeout: Option<Duration>,
    /// Whether the jobs need external placement advice, which is not supported: such jobs are
    /// refused.
    pub needs_advice: bool,
}

/// Limits on requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub body_bytes: usize,
    /// Time within which the head of a request must be complete.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Limits that apply if the configuration sets none: values typical of HTTP servers.
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

impl RouteTable {
    /// Creates a version with these routes.
    pub fn new(version: u64, routes: impl IntoIterator<Item = Route>, limits: Limits) -> Self {
        let mut by_host: BTreeMap<String, Vec<Route>> = BTreeMap::new();
        for route in routes {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        RouteTable { version, routes: by_host, limits }
    }

    /// Returns the route of a request: of those for its host, the one with the longest matching
    /// prefix. A port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        self.routes.get(&host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
