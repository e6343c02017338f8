//! Which dispatcher a job goes to.

use super::Load;

/// Horizon over which waiting work counts as taken cores, in seconds: about the wait that a job of
/// the usual objective can bear.
const HORIZON_S: f64 = 0.1;

/// A dispatcher that could take a job, as an entry host sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Route<K> {
    /// The dispatcher.
    pub key: K,
    /// What it told last.
    pub load: Load,
    /// Cores of the jobs that were handed to it since.
    pub handed_cores: f64,
    /// What the way to it costs, as a share of its capacity.
    pub distance: f64,
}

/// Chooses the dispatcher with the least share of its cores taken, once it has the job too.
///
/// Answers the load pattern "some entry hosts get far more callers than others": load is evened out
/// job by job.
pub fn choose<K: Copy>(routes: impl IntoIterator<Item = Route<K>>, job_cores: f64) -> Option<K> {
    let score = |route: &Route<K>| {
        let taken = route.load.busy + route.load.waiting / HORIZON_S + route.handed_cores;
        (taken + job_cores) / route.load.cores + route.distance
    };
    let usable = routes.into_iter().filter(|route| route.load.cores > f64::EPSILON);
    let best = usable.min_by(|one, other| score(one).total_cmp(&score(other)));
    best.map(|route| route.key)
}
