//! Heartbeats between entry hosts that call each other over tarpc. They carry liveness, load, the
//! successors of stopped processes, and the revisions of the lists in force. The heartbeats of the
//! users' platform are separate, see `heathertrack::membership::links`.

use crate::lists;
use crate::log::Event;
use crate::metrics;
use crate::state::{Phase, State};
use heathertrack::membership::{self, HostState};
use heathertrack::name::Host;
use heathertrack::ticket::{Home, Incarnation};
use heathertrack_wire::frame::{self, Heartbeat};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Interval of heartbeats to peers in this data centre.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Peers in other data centres get a heartbeat in one of this many rounds, that is, every 1.2 s.
const REMOTE_ROUNDS: u32 = 3;
/// Time without a heartbeat after which a peer counts as unresponsive: four intervals within the
/// data centre, and more than one of 1.2 s between data centres.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Starts the loop that sends heartbeats.
pub fn spawn(state: &Arc<State>) {
    tokio::spawn(run(state.clone()));
}

async fn run(state: Arc<State>) {
    let mut ticks = state.timer.every(HEARTBEAT_INTERVAL);
    let mut round = 0_u32;
    let mut logged: HashMap<Host, HostState> = HashMap::new();
    while ticks.next().await.is_some() && !state.shutdown.is_cancelled() {
        round = round.wrapping_add(1);
        send_to_all(&state, round.is_multiple_of(REMOTE_ROUNDS));
        log_changes(&state, &mut logged);
        remove_expired(&state);
    }
}

/// Sends a heartbeat to every peer at once, for example after a handover. Peers in other data
/// centres are included if `include_remote` is set.
pub fn send_to_all(state: &Arc<State>, include_remote: bool) {
    let peers: Vec<(Host, bool)> = {
        let view = state.view();
        view.peers()
            .map(|entry| (entry.host.clone(), view.is_same_data_centre(&entry.host)))
            .collect()
    };
    for (peer, same_data_centre) in peers {
        if same_data_centre || include_remote {
            tokio::spawn(send(state.clone(), peer, same_data_centre));
        }
    }
}

async fn send(state: Arc<State>, peer: Host, same_data_centre: bool) {
    // The name of a heartbeat in the metrics.
    metrics::message("beat");
    let heartbeat = compose(&state, same_data_centre);
    if let Some(answer) = state.peers.heartbeat(&state, &peer, heartbeat).await {
        receive(&state, &answer);
    }
}

/// Removes successions and records whose retention time has passed.
fn remove_expired(state: &State) {
    let now = state.now();
    state.successions().expire(now);
    state.submissions().expire(now);
}

/// Logs each peer whose state differs from the one in `logged`, and updates `logged`.
fn log_changes(state: &State, logged: &mut HashMap<Host, HostState>) {
    let now = state.now();
    let view = state.view();
    for entry in view.peers() {
        let peer_state = view.state(&entry.host, now);
        let before = logged.insert(entry.host.clone(), peer_state);
        if before != Some(peer_state) {
            // The names in the log.
            let name = match peer_state {
                HostState::Alive => "alive",
                HostState::Draining => "draining",
                HostState::Unresponsive => "silent",
            };
            state.log.write(&Event::PeerChanged(entry.host.to_string(), name));
        }
    }
}

/// Applies a heartbeat received from a peer.
pub fn receive(state: &Arc<State>, heartbeat: &Heartbeat) {
    let from = Home::from(&heartbeat.from);
    let now = state.now();
    let recorded = membership::Heartbeat {
        incarnation: Incarnation(heartbeat.from.incarnation),
        draining: heartbeat.draining,
        operators: Some(heartbeat.operators),
    };
    state.view().record_heartbeat(&from.host, recorded, now);
    if let Some(load) = &heartbeat.load
        && !heartbeat.draining
    {
        state.placement.update_peer_load(&from.host, load);
    }
    {
        let mut successions = state.successions();
        for (stopped, successor) in &heartbeat.successions {
            successions.record(Home::from(stopped), Home::from(successor), now);
        }
    }
    state.seats.note_peer_revision(heartbeat.seats);
    lists::fetch_if_newer(state, &from.host, heartbeat.plans, heartbeat.allowances);
}

/// Returns this host's heartbeat as the answer to a peer's.
pub fn reply(state: &State, to: &frame::Home) -> Heartbeat {
    compose(state, to.data_centre == state.home.data_centre.as_str())
}

/// Builds this host's heartbeat. Only peers in the same data centre place tasks here, so only they
/// get the load.
fn compose(state: &State, same_data_centre: bool) -> Heartbeat {
    let successions = state.successions();
    let pair = |(from, to): (&Home, &Home)| (from.into(), to.into());
    Heartbeat {
        from: (&state.home).into(),
        draining: state.phase() >= Phase::Draining,
        operators: state.settings.listen.operators,
        // These three are revisions.
        plans: state.lists.plans.revision(),
        allowances: state.lists.allowances.revision(),
        seats: state.seats.last_revision(),
        load: same_data_centre.then(|| frame::Load::from(&state.dispatcher.load(state.now()))),
        successions: successions.iter().map(pair).collect(),
    }
}
