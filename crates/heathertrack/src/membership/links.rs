//! Links between hosts, and the heartbeat period on each link.

use std::time::Duration;

/// Heartbeat period to a host that depends on the sender. Several heartbeats fit into the time
/// after which a job of a host that is gone must be stopped (docs/design/platform.md).
pub const FAST_HEARTBEAT_PERIOD: Duration = Duration::from_millis(100);
/// Heartbeats a second that a host sends in total to hosts that don't depend on it. With more than
/// 100 links the rate is higher, because of [`MAX_PERIOD`].
const BACKGROUND_HEARTBEATS_PER_S: f64 = 100.0;
/// Maximum heartbeat period, so that a crashed host is detected within a few seconds.
const MAX_PERIOD: Duration = Duration::from_secs(1);
/// Heartbeat periods without any message after which a host is considered gone.
const TIMEOUT_PERIODS: f64 = 3.5;
/// Maximum number of hosts in a fleet in which all keep links with each other, at no more than
/// [`BACKGROUND_HEARTBEATS_PER_S`] heartbeats a second from each.
const MAX_FULL_MESH_HOSTS: usize = 12;

/// Relation between two hosts, which decides whether they keep a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Relation {
    /// Both are in the same data centre.
    pub same_data_centre: bool,
    /// At least one is a dispatcher, or has jobs in its pool.
    pub dispatches: bool,
    /// One has submitted jobs to the other.
    pub has_submitted_jobs: bool,
    /// One is a seed in the other's settings. A host that the store refuses still reaches the other
    /// data centres over these links.
    pub seed: bool,
}

impl Relation {
    /// Whether two hosts with this relation keep a link in a fleet of `hosts` hosts.
    ///
    /// With links between all of several hundred hosts, heartbeats alone would use a large part of
    /// the processor time of a small host.
    pub fn needs_link(self, hosts: usize) -> bool {
        self.same_data_centre
            || self.dispatches
            || self.has_submitted_jobs
            || self.seed
            || hosts <= MAX_FULL_MESH_HOSTS
    }
}

/// Returns the period at which a host with `links` links sends heartbeats on one of them.
/// `depends` means that the receiver depends on the sender: the sender is a dispatcher, has submitted
/// jobs to the receiver, or follows runs whose leases the receiver may renew.
pub fn heartbeat_period(links: usize, depends: bool) -> Duration {
    if depends {
        return FAST_HEARTBEAT_PERIOD;
    }
    Duration::from_secs_f64(links as f64 / BACKGROUND_HEARTBEATS_PER_S)
        .clamp(FAST_HEARTBEAT_PERIOD, MAX_PERIOD)
}

/// Returns the time without a message after which a host with this heartbeat period is considered
/// gone.
pub fn heartbeat_timeout(period: Duration) -> Duration {
    period.mul_f64(TIMEOUT_PERIODS)
}
