use heathertrack_wire::host_list::HostList;
use std::time::{Duration, Instant};

/// Host list with its former versions, so that an outdated version can be served.
#[derive(Clone, Debug, Default)]
pub struct HostListHistory {
    latest: HostList,
    /// Replaced versions with the time of their replacement, oldest first.
    former: Vec<(Instant, HostList)>,
}

impl HostListHistory {
    /// Replaces the list.
    pub fn publish(&mut self, list: HostList) {
        let replaced = std::mem::replace(&mut self.latest, list);
        self.former.push((Instant::now(), replaced));
    }

    /// Returns the list as it was `lag` ago.
    pub fn as_of(&self, lag: Duration) -> &HostList {
        let was_current = |(replaced, _): &&(Instant, HostList)| replaced.elapsed() < lag;
        self.former.iter().find(was_current).map_or(&self.latest, |(_, list)| list)
    }
}
