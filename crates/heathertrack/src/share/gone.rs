use super::Holder;
use crate::clock::Time;
use crate::membership::View;
use crate::name::Host;
use crate::ticket::Incarnation;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a host that the platform no longer lists is known to have been stopped.
const GONE_AFTER_UNLISTED: Duration = Duration::from_secs(60);

/// Collects proofs that processes are gone: a later process of the same host, or the platform's
/// list. An unresponsive process may still run, and one whose address refuses connections as well,
/// since a network that cuts it off can refuse them in its place.
#[derive(Clone, Debug, Default)]
pub struct GoneDetector {
    /// Incarnation of the process last seen on each host.
    last_incarnation: BTreeMap<Host, Incarnation>,
    /// Time at which each host was last on the platform's list.
    last_listed: BTreeMap<Host, Time>,
    /// Time at which a list was first seen; a host never listed counts as listed until then.
    first_list_at: Option<Time>,
}

impl GoneDetector {
    /// Records the hosts and incarnations of the view.
    pub fn observe(&mut self, view: &View, now: Time) {
        for entry in view.peers() {
            self.last_listed.insert(entry.host.clone(), now);
            self.first_list_at.get_or_insert(now);
            if let Some(incarnation) = view.incarnation(&entry.host) {
                self.last_incarnation.insert(entry.host.clone(), incarnation);
            }
        }
    }

    /// Returns whether a process is proved to be gone.
    pub fn proves_gone(&self, holder: &Holder, now: Time) -> bool {
        let replaced =
            self.last_incarnation.get(&holder.host).is_some_and(|last| *last > holder.incarnation);
        replaced || self.is_long_unlisted(&holder.host, now)
    }

    fn is_long_unlisted(&self, host: &Host, now: Time) -> bool {
        let Some(first_list_at) = self.first_list_at else {
            return false;
        };
        let listed = self.last_listed.get(host).copied().unwrap_or(first_list_at);
        now.since(listed) >= GONE_AFTER_UNLISTED
    }
}
