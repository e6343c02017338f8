//! Fetches the platform's host list, which names the peers, and assigns upstreams to this host.

use crate::log::Event;
use crate::metrics;
use crate::settings::BaselinePolicy;
use crate::state::State;
use heathertrack::dispatch::Spec;
use heathertrack::membership::{ListedHost, rendezvous};
use heathertrack::name::Upstream;
use heathertrack_platform::HostList;
use heathertrack_wire::host_list::{HostList as HostListData, HostListEntry, Role};
use std::sync::Arc;
use std::time::Duration;

/// Interval between two fetches of the host list.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the loop that fetches the host list and assigns the upstreams.
pub fn spawn(state: &Arc<State>, hosts: impl HostList) {
    tokio::spawn(run(state.clone(), hosts));
}

async fn run(state: Arc<State>, hosts: impl HostList) {
    let mut ticks = state.timer.every(FETCH_INTERVAL);
    while ticks.next().await.is_some() && !state.shutdown.is_cancelled() {
        metrics::platform_call("hosts");
        match hosts.fetch().await {
            Ok(list) => apply(&state, list),
            Err(error) => {
                metrics::platform_fault("hosts");
                state.log.write(&Event::PlatformFault("hosts", error.to_string()));
            }
        }
        reassign(&state);
    }
}

/// Applies a list unless a newer one was seen.
fn apply(state: &State, list: HostListData) {
    let mut newest = state.host_list();
    if list.revision < newest.revision {
        return;
    }
    let is_listed = |old: &HostListEntry| list.hosts.iter().any(|new| new.name == old.name);
    if newest.hosts.iter().any(|old| old.role == Role::Entry && !is_listed(old)) {
        // The host that left may have started jobs, and can't be asked about them any more. Hence
        // `route::proof` no longer proves that a key minted before now was never started.
        state.record_host_left();
    }
    let entries = list.hosts.iter().filter(|host| host.role == Role::Entry);
    state.view().update(entries.map(ListedHost::from));
    *newest = list;
    state.mark_hosts_known();
}

/// Decides which upstreams of this data centre this host dispatches to, by rendezvous hashing over
/// the hosts that take new work.
pub fn reassign(state: &Arc<State>) {
    let list = state.host_list().clone();
    let now = state.now();
    let is_local_upstream = |host: &&HostListEntry| {
        host.role == Role::Upstream && host.data_centre == state.home.data_centre.as_str()
    };
    let specs: Vec<Spec> = list.hosts.iter().filter(is_local_upstream).map(Spec::from).collect();
    let hosts = state.view().accepting_hosts(now);
    // Policy for comparison; `None` in production.
    let baseline = state.settings.policy.baseline;
    let owned = |upstream: &Upstream| {
        if baseline.is_some_and(BaselinePolicy::shares_upstreams) {
            return true;
        }
        let rendezvous_key = match baseline {
            Some(BaselinePolicy::Central) => "all-upstreams".to_owned(),
            _ => format!("upstream/{upstream}"),
        };
        match rendezvous(&rendezvous_key, &hosts) {
            Some(host) => *host == state.home.host,
            // No host takes new work: one that is stopping keeps its upstreams.
            None => true,
        }
    };
    state.dispatcher.update(&specs, owned, now);
    state.placement.set_upstream_sizes(specs.iter().map(|spec| spec.size).collect());
    let accepts_work = |host: &heathertrack::name::Host| hosts.contains(host);
    state.placement.retain_peers(accepts_work);
    // Tasks that no upstream assigned to this host can hold are placed anew.
    state.dispatcher.return_unplaceable();
    state.dispatcher.run_queue(state);
}
