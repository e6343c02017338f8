//! Choice of the dispatcher for a job.

use super::node::{EntryHost, Environment};
use heathertrack::clock::Time;
use heathertrack::name::Host;
use heathertrack::pool::job::Step;
use heathertrack::pool::routing::{Distance, Route, choose};

impl<E: Environment> EntryHost<E> {
    /// Returns the dispatcher for a job, or `None` if no host outside of `tried` has upstreams.
    pub(super) fn choose_dispatcher(
        &self,
        steps: &[Step],
        tried: &[Host],
        now: Time,
    ) -> Option<Host> {
        let state = self.state.borrow();
        let mut routes: Vec<Route<&Host>> = Vec::new();
        if !tried.contains(&self.record.name) {
            let load = state.pool.load(now);
            routes.push(Route {
                key: &self.record.name,
                load,
                handed_cores: 0.0,
                distance: Distance::None,
            });
        }
        for (host, peer) in &state.peers {
            if tried.contains(host) || peer.leaving {
                continue;
            }
            let is_same_centre = peer.record.data_centre == self.record.data_centre;
            routes.push(Route {
                key: host,
                load: peer.load,
                handed_cores: peer.handed_cores,
                distance: if is_same_centre { Distance::SameCentre } else { Distance::OtherCentre },
            });
        }
        choose(routes, peak_cores(steps)).cloned()
    }
}

/// Returns the largest number of cores that one step of a job takes if all its tasks run at once.
pub fn peak_cores(steps: &[Step]) -> f64 {
    let cores = |step: &Step| f64::from(step.count) * f64::from(step.needs.cpu) / 1_000.0;
    steps.iter().map(cores).fold(0.0, f64::max)
}
