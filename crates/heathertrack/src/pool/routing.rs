//! Choice of the dispatcher for a job.

use super::Load;

/// Time within which queued work should be done, in seconds: about the acceptable wait of a job
/// with the usual objective. Queued core-seconds divided by it count as busy cores.
const BACKLOG_HORIZON_S: f64 = 0.1;

/// Penalty of another host in the same data centre, as a share of its capacity.
const SAME_CENTRE_PENALTY: f64 = 0.02;
/// Penalty of a host in another data centre, as a share of its capacity: messages between data
/// centres take longer and are charged for, and a job in another data centre is lost when the two
/// are partitioned.
const OTHER_CENTRE_PENALTY: f64 = 0.2;

/// Distance between an entry host and a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// The entry host dispatches itself.
    None,
    /// Another host in the same data centre.
    SameCentre,
    /// A host in another data centre.
    OtherCentre,
}

impl Distance {
    /// Returns the utilisation by which a dispatcher at this distance has to be below a local one to
    /// be chosen.
    fn penalty(self) -> f64 {
        match self {
            Distance::None => 0.0,
            Distance::SameCentre => SAME_CENTRE_PENALTY,
            Distance::OtherCentre => OTHER_CENTRE_PENALTY,
        }
    }
}

/// A dispatcher that a job could be routed to, as an entry host sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Route<K> {
    /// The dispatcher.
    pub key: K,
    /// The load that it reported last.
    pub load: Load,
    /// Cores of the jobs handed to it since that report.
    pub handed_cores: f64,
    /// Distance from the entry host.
    pub distance: Distance,
}

/// Chooses the dispatcher with the lowest utilisation, penalty included, once it has this job as
/// well. Returns `None` if none has usable upstreams. `job_cores` are the cores that the job takes
/// at its peak.
///
/// Addresses the load pattern "some entry hosts get far more callers than others": load is balanced
/// job by job. Between data centres it is balanced only beyond a difference that a few jobs don't
/// make, because of the pattern "a data centre is partitioned under load".
pub fn choose<K: Copy>(routes: impl IntoIterator<Item = Route<K>>, job_cores: f64) -> Option<K> {
    let score = |route: &Route<K>| {
        let busy = route.load.busy_cores
            + route.load.queued_core_seconds / BACKLOG_HORIZON_S
            + route.handed_cores;
        (busy + job_cores) / route.load.cores + route.distance.penalty()
    };
    let usable = routes.into_iter().filter(|route| route.load.cores > f64::EPSILON);
    let best = usable.min_by(|one, other| score(one).total_cmp(&score(other)));
    best.map(|route| route.key)
}
