//! Links between hosts, and the heartbeat period on each link.

use std::time::Duration;

/// Heartbeat period to a host that depends on the sender. Several heartbeats fit into the time
/// after which a job of a host that is gone must be stopped (docs/design/platform.md).
pub const FAST_HEARTBEAT_PERIOD: Duration = Duration::from_millis(100);
/// Total heartbeats a second that a host sends to all hosts that don't depend on it.
const BACKGROUND_HEARTBEATS_PER_S: f64 = 100.0;
/// Maximum heartbeat period, so that a crashed host is detected within a few seconds.
const MAX_PERIOD: Duration = Duration::from_secs(1);
/// Heartbeat periods without any message after which a host is considered gone.
const TIMEOUT_PERIODS: f64 = 3.5;
/// Number of hosts up to which all are linked with each other, at no more than
/// [`BACKGROUND_HEARTBEATS_PER_S`] on each host.
const MAX_FULL_MESH_HOSTS: usize = 12;

/// Relation between two hosts, which decides whether they keep a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Relation {
    /// Both are in the same data centre.
    pub same_data_centre: bool,
    /// At least one is a dispatcher.
    pub dispatches: bool,
    /// One has submitted jobs to the other.
    pub jobs: bool,
    /// One is a seed in the other's settings. Hosts that the store refuses thereby still reach
    /// the other data centres.
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
            || self.jobs
            || self.seed
            || hosts <= MAX_FULL_MESH_HOSTS
    }
}

/// Returns the heartbeat period on one of a host's `links` links. `depends` means that the receiver
/// depends on the sender: the sender is a dispatcher, or has submitted jobs to the receiver.
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
