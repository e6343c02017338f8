//! Which part of the platform's store a host mirrors.

use std::time::Duration;

/// Number of upstreams up to which every host follows all changes.
const MAX_UPSTREAMS_FOLLOWED_BY_ALL: usize = 100;
/// Time between two full reads for each upstream, so that a host that follows only the
/// configuration reads at most fifty records a second.
const READ_TIME_PER_UPSTREAM: Duration = Duration::from_millis(20);
/// Minimum time between two full reads.
const MIN_READ_PERIOD: Duration = Duration::from_secs(10);

/// Number of hosts of a data centre that read all items as soon as they have started. Its
/// dispatchers are chosen among them unless they are gone.
const FIRST_READERS: usize = 3;
/// Time between the first full reads of two hosts. A full read of several thousand records takes
/// the store's network link for about half of it.
const FULL_READ_SPACING: Duration = Duration::from_millis(20);

/// Part of the store that a host follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MirrorScope {
    /// All changes.
    All,
    /// Changes of the configuration only. The rest is read in full from time to time, see
    /// [`full_read_period`].
    ConfigurationOnly,
}

/// Returns the scope for a host in a fleet of `upstreams` upstreams. `dispatches` means that the
/// host has upstreams to dispatch to.
///
/// Bounds the load of hundreds of hosts that follow thousands of upstreams, each of which renews
/// its record every second or two. Only dispatchers need the current records.
pub fn mirror_scope(upstreams: usize, dispatches: bool) -> MirrorScope {
    if dispatches || upstreams <= MAX_UPSTREAMS_FOLLOWED_BY_ALL {
        MirrorScope::All
    } else {
        MirrorScope::ConfigurationOnly
    }
}

/// Returns the time between two full reads by a host that follows only the configuration.
pub fn full_read_period(upstreams: usize) -> Duration {
    let period = READ_TIME_PER_UPSTREAM * u32::try_from(upstreams).unwrap_or(u32::MAX);
    period.max(MIN_READ_PERIOD)
}

/// Returns how long after its first read of the other hosts a host reads all items for the first
/// time. `rank` is the number of larger hosts in its data centre.
///
/// Bounds the load of hundreds of hosts that start at once: if all read the records of thousands of
/// upstreams, none would get the configuration for seconds. Hosts that don't dispatch can serve
/// callers without these records.
pub fn first_full_read_delay(rank: usize, data_centres: usize) -> Duration {
    let turns = rank.saturating_sub(FIRST_READERS - 1) * data_centres;
    FULL_READ_SPACING * u32::try_from(turns).unwrap_or(u32::MAX)
}
