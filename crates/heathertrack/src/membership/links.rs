//! Which hosts keep a link, and how often they tell each other that they live.

use std::time::Duration;

/// Period of signs of life to a host that depends on the sender: a few of them fit into the time
/// after which a job of a host that is gone must be stopped (docs/design/platform.md).
pub const BRISK: Duration = Duration::from_millis(100);
/// Signs of life a second that a host sends to hosts that don't depend on it, over all of them.
const STANDBY_PER_S: f64 = 100.0;
/// Longest period: a host that is gone without a trace is then noticed after a few seconds.
const LONGEST: Duration = Duration::from_secs(1);
/// Periods without any message after which a host is taken for gone.
const SILENT_PERIODS: f64 = 3.5;
/// Hosts up to which each has a link to all others, at no more than [`STANDBY_PER_S`].
const MESH: usize = 12;

/// What two hosts have to do with each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bond {
    /// They are in one data centre.
    pub near: bool,
    /// At least one of them dispatches.
    pub dispatches: bool,
    /// One has jobs in the other's hands.
    pub jobs: bool,
    /// The settings of the one name the other, so that there is a way to the other data centres
    /// also for hosts that the store turns away.
    pub seed: bool,
}

impl Bond {
    /// Whether two of `hosts` hosts keep a link.
    ///
    /// Answers the load pattern "hundreds of hosts in several data centres": with links between all
    /// of them signs of life alone would take a large part of a small host.
    pub fn is_wanted(self, hosts: usize) -> bool {
        self.near || self.dispatches || self.jobs || self.seed || hosts <= MESH
    }
}

/// Period of the signs of life that a host with `links` links sends on one of them. `depends` says
/// that the receiver depends on the sender: the sender dispatches, or has jobs in its hands.
pub fn period(links: usize, depends: bool) -> Duration {
    if depends {
        return BRISK;
    }
    Duration::from_secs_f64(links as f64 / STANDBY_PER_S).clamp(BRISK, LONGEST)
}

/// Time without a message after which the sender of signs of life of a period is taken for gone.
pub fn silence(period: Duration) -> Duration {
    period.mul_f64(SILENT_PERIODS)
}
