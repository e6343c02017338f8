//! Choice of the dispatcher for a job.

use super::Load;

/// Time within which queued work should be done, in seconds: about the acceptable wait of a job
/// with the usual objective. Queued core-seconds divided by it count as busy cores.
const BACKLOG_HORIZON_S: f64 = 0.1;

/// A dispatcher that a job could be routed to, as an entry host sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Route<K> {
    /// The dispatcher.
    pub key: K,
    /// The load that it reported last.
    pub load: Load,
    /// Cores of the jobs handed to it since that report.
    pub handed_cores: f64,
    /// Penalty for the network distance, which is added to the dispatcher's utilisation.
    pub distance_penalty: f64,
}

/// Chooses the dispatcher with the lowest utilisation, penalty included, once it has this job as
/// well. Returns `None` if none has usable upstreams. `job_cores` are the cores that the job takes
/// at its peak.
///
/// Addresses the load pattern "some entry hosts get far more callers than others": load is balanced
/// job by job.
pub fn choose<K: Copy>(routes: impl IntoIterator<Item = Route<K>>, job_cores: f64) -> Option<K> {
    let score = |route: &Route<K>| {
        let busy = route.load.busy_cores
            + route.load.queued_core_seconds / BACKLOG_HORIZON_S
            + route.handed_cores;
        (busy + job_cores) / route.load.cores + route.distance_penalty
    };
    let usable = routes.into_iter().filter(|route| route.load.cores > f64::EPSILON);
    let best = usable.min_by(|one, other| score(one).total_cmp(&score(other)));
    best.map(|route| route.key)
}
