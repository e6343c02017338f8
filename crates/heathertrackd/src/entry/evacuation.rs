//! Operators' requests to evacuate data centres, as this host knows them.

use super::node::{EntryHost, Environment};
use super::state::State;
use heathertrack::clock::Time;
use heathertrack::name::DataCentre;

impl State {
    /// Returns whether all known upstreams of a service, at least one, are in evacuated data centres.
    pub fn is_evacuated(&self, service: &str) -> bool {
        let of_service = self.upstreams.values().filter(|record| *record.service == *service);
        let mut of_service = of_service.peekable();
        of_service.peek().is_some()
            && of_service.all(|record| self.evacuated.contains_key(&record.data_centre))
    }

    /// Returns whether a host or an upstream of a data centre is known.
    fn knows_data_centre(&self, data_centre: &DataCentre) -> bool {
        self.upstreams.values().any(|record| record.data_centre == *data_centre)
            || self.hosts.values().any(|record| record.data_centre == *data_centre)
    }
}

impl<E: Environment> EntryHost<E> {
    /// Records that the operators have evacuated a data centre by a request of this revision, or taken it
    /// back, and tells the pool. A data centre that nobody knows may get upstreams later, so the request
    /// is kept.
    pub(super) fn set_evacuated(
        &self,
        state: &mut State,
        data_centre: &DataCentre,
        revision: Option<u64>,
        now: Time,
    ) {
        let before = match revision {
            Some(revision) => state.evacuated.insert(data_centre.clone(), revision),
            None => state.evacuated.remove(data_centre),
        };
        if before.is_some() == revision.is_some() {
            return;
        }
        let is_known =
            state.knows_data_centre(data_centre) || self.record.data_centre == *data_centre;
        // The request is no older than the last answer of the store without it.
        let max_age = state.confirmation.age(now);
        state.pool.set_evacuated(data_centre, revision.is_some(), now);
        let held_back = state.pool.evacuated_upstreams();
        self.event_log.evacuation_changed(
            data_centre,
            revision,
            state.operator_revision,
            max_age,
            is_known,
            held_back,
        );
    }
}
