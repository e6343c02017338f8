//! Keeps the lists up to date. One host of the data centre reads the store in every round, the
//! others less often, and peers fetch newer lists from each other.

use super::ActiveList;
use crate::log::Event;
use crate::metrics;
use crate::state::State;
use heathertrack::membership::rendezvous;
use heathertrack::name::Host;
use heathertrack_platform::Store;
use heathertrack_wire::frame;
use heathertrack_wire::list::List;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which the host that holds the role `lists` reads the store.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Every host reads the store in one of this many rounds, in case the host with the role is
/// partitioned: every 2 s, so that an edit is in force within 4 s on every path.
const FALLBACK_ROUNDS: u32 = 4;

/// Starts the loop that reads the store.
pub fn spawn(state: &Arc<State>, store: impl Store) {
    tokio::spawn(run(state.clone(), store));
}

async fn run(state: Arc<State>, store: impl Store) {
    let mut ticks = state.timer.every(READ_INTERVAL);
    let mut round = 0_u32;
    while ticks.next().await.is_some() && !state.shutdown.is_cancelled() {
        let is_fallback_round = round.is_multiple_of(FALLBACK_ROUNDS);
        round = round.wrapping_add(1);
        if is_fallback_round || !state.lists.are_known() || is_reader(&state) {
            read(&state, &store).await;
        }
    }
}

/// Returns whether this host holds the role `lists` in its data centre.
fn is_reader(state: &State) -> bool {
    let hosts = state.view().accepting_hosts(state.now());
    rendezvous("lists", &hosts) == Some(&state.home.host)
}

/// Reads each list if the store has a newer revision than the highest seen here.
async fn read(state: &Arc<State>, store: &impl Store) {
    let plans_changed = read_list(state, store, &state.lists.plans).await;
    let allowances_changed = read_list(state, store, &state.lists.allowances).await;
    if plans_changed || allowances_changed {
        recompute_shares(state);
    }
}

/// Reads one list. Returns whether a newer one was put into force.
async fn read_list<T: List>(state: &State, store: &impl Store, list: &ActiveList<T>) -> bool {
    let key = format!("{}/lists/{}", state.settings.platform.prefix, T::NAME);
    metrics::platform_call("lists");
    match store.get_newer(&key, list.highest_seen()).await {
        Ok(Some(value)) => {
            list.offer(&String::from_utf8_lossy(&value.data), value.revision, &state.log)
        }
        Ok(None) => false,
        Err(error) => {
            metrics::platform_fault("lists");
            state.log.write(&Event::PlatformFault("lists", error.to_string()));
            false
        }
    }
}

/// Recomputes this host's shares from the lists in force.
pub fn recompute_shares(state: &State) {
    let lists = &state.lists;
    if let (Some(plans), Some(allowances)) = (lists.plans.current(), lists.allowances.current()) {
        state.gate.recompute_shares(&plans.value, &allowances.value);
    }
}

/// Fetches a peer's lists if one of its revisions is higher than the one in force here.
pub fn fetch_if_newer(
    state: &Arc<State>,
    peer: &Host,
    plans_revision: u64,
    allowances_revision: u64,
) {
    let lists = &state.lists;
    if plans_revision > lists.plans.revision() || allowances_revision > lists.allowances.revision()
    {
        let state = state.clone();
        let peer = peer.clone();
        tokio::spawn(async move {
            metrics::message("lists");
            if let Some(lists) = state.peers.fetch_lists(&state, &peer).await {
                apply_frame(&state, &lists);
            }
        });
    }
}

/// Puts a peer's lists into force if they are newer and valid.
fn apply_frame(state: &State, lists: &frame::Lists) {
    let plans = lists.plans.as_ref();
    let plans_changed =
        plans.is_some_and(|list| state.lists.plans.offer(&list.text, list.revision, &state.log));
    let allowances = lists.allowances.as_ref();
    let allowances_changed = allowances
        .is_some_and(|list| state.lists.allowances.offer(&list.text, list.revision, &state.log));
    if plans_changed || allowances_changed {
        recompute_shares(state);
    }
}
