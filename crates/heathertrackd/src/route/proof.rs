//! Proves, without the store, that no job was ever started under a minted key.

use crate::peers::CallResult;
use crate::state::State;
use heathertrack::name::Host;
use heathertrack::run::ExecutionStatus;
use heathertrack::ticket::{Home, Incarnation};
use heathertrack_wire::caller::{Key, Outcome};
use heathertrack_wire::frame::{Action, Submission};
use std::sync::Arc;
use std::time::Duration;
use uuid::Uuid;

/// Time within which each host must answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns whether every process that could have started a job under the key reports that it did
/// not.
///
/// Those are the processes of all listed entry hosts, provided that each has run since before the
/// key was minted and that no host has left the list since then.
pub async fn proves_unstarted(state: &Arc<State>, key: &Key, uuid: &Uuid) -> bool {
    // The clocks of two hosts may differ by twice the skew.
    let skew = u64::try_from(state.settings.limits.minted.skew.as_millis()).unwrap_or(u64::MAX);
    let earliest_minted_ms = Key::minted_ms(uuid).saturating_sub(2 * skew);
    if state.hosts_left_since(earliest_minted_ms)
        || state.home.incarnation.started_ms() > earliest_minted_ms
    {
        return false;
    }
    if crate::home::probe(state, key) != ExecutionStatus::NotRun {
        return false;
    }
    let Some(homes) = peers_running_since(state, earliest_minted_ms) else {
        return false;
    };
    let answers =
        homes.into_iter().map(|home| confirms_unstarted(state.clone(), home, key.to_string()));
    futures::future::join_all(answers).await.into_iter().all(|unstarted| unstarted)
}

/// Returns the processes of the other hosts, or `None` unless each is known to have run since
/// before `minted_ms`.
fn peers_running_since(state: &State, minted_ms: u64) -> Option<Vec<Home>> {
    let view = state.view();
    let peers: Vec<(Host, Option<Incarnation>)> =
        view.peers().map(|e| (e.host.clone(), view.incarnation(&e.host))).collect();
    peers
        .into_iter()
        .map(|(host, incarnation)| {
            let incarnation = incarnation.filter(|i| i.started_ms() <= minted_ms)?;
            let data_centre = view.entry(&host)?.data_centre.clone();
            Some(Home { data_centre, host, incarnation })
        })
        .collect()
}

/// Asks a process for confirmation that no job under the key has started there. A missing answer
/// confirms nothing.
async fn confirms_unstarted(state: Arc<State>, home: Home, key: String) -> bool {
    let submission = Submission {
        home: (&home).into(),
        // A probe covers the keys of all customers.
        customer: String::new(),
        key,
        action: Action::Probe,
        remaining_ms: u64::try_from(PROBE_TIMEOUT.as_millis()).unwrap_or(u64::MAX),
    };
    let call = state.peers.submit(&state, &home.host, submission, PROBE_TIMEOUT);
    match tokio::time::timeout(PROBE_TIMEOUT, call).await {
        Ok(CallResult::Answer(Some(Outcome::Problem(problem)))) => !problem.may_have_run,
        _ => false,
    }
}
