//! Planned stop: lets work in progress end and transfers the records to a peer.

use crate::home;
use crate::log::Event;
use crate::peers::CallResult;
use crate::placement;
use crate::state::{Phase, State};
use crate::{heartbeats, hosts};
use heathertrack::membership::{HostState, rendezvous};
use heathertrack::name::Host;
use heathertrack::ticket::{Home, Incarnation};
use heathertrack_wire::frame::{HandedOverRecord, HandedOverTickets, HandoverPart, HandoverReply};
use std::sync::Arc;
use std::time::Duration;

/// Interval at which the process checks whether its work has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time beyond the longest deadline for which the process waits for its work to end.
const WORK_MARGIN: Duration = Duration::from_secs(5);
/// Most records in one part of a handover.
const MAX_PART_RECORDS: usize = 256;
/// Approximate limit on the bytes of answers in one part of a handover.
const MAX_PART_BYTES: usize = 4 << 20;
/// Time allowed for loans to be repaid; seats still held after it are left to other hosts.
const LOAN_REPAYMENT_WAIT: Duration = Duration::from_secs(2);
/// Most attempts at a handover, each with another peer.
const MAX_ATTEMPTS: usize = 3;

/// Ends the work of this process and transfers its records to a peer.
pub async fn run(state: &Arc<State>) {
    state.log.write(&Event::Draining);
    state.enter_phase(Phase::Notice);
    state.timer.wait(state.settings.limits.drain_notice).await;
    state.enter_phase(Phase::Draining);
    state.submissions().close();
    state.view().drain();
    heartbeats::send_to_all(state, /* include_remote */ true);
    // A draining host owns no upstreams while another one in its data centre accepts work.
    hosts::reassign(state);
    finish_work(state).await;
    transfer_records(state).await;
    // Peers must learn of the succession before this process ends.
    heartbeats::send_to_all(state, /* include_remote */ true);
    state.timer.wait(LOAN_REPAYMENT_WAIT).await;
}

/// Waits until all jobs and tasks have ended, for at most the longest deadline of any plan plus
/// [`WORK_MARGIN`].
async fn finish_work(state: &Arc<State>) {
    let max_wait = state.lists.longest_deadline() + WORK_MARGIN;
    let end = state.now() + max_wait;
    while state.now() < end {
        placement::forward_all(state);
        if state.submissions().records().running() == 0 && state.tasks.is_empty() {
            return;
        }
        state.timer.wait(POLL_INTERVAL).await;
    }
}

async fn transfer_records(state: &Arc<State>) {
    let (tickets, records) = home::export_records(state);
    state.enter_phase(Phase::Parted);
    let mut tried: Vec<Host> = Vec::new();
    for _ in 0..MAX_ATTEMPTS {
        let Some(successor) = choose_successor(state, &tried) else {
            break;
        };
        tried.push(successor.host.clone());
        if transfer_to(state, &successor, &tickets, &records).await {
            state.successions().record(state.home.clone(), successor.clone(), state.now());
            state.log.write(&Event::HandedOver(successor.host.to_string()));
            return;
        }
    }
    let count = records.len();
    state.log.write(&Event::NotHandedOver(format!("{count} records; no peer took them")));
}

/// Chooses a peer to take over that was not tried yet, preferably one of this data centre.
fn choose_successor(state: &State, tried: &[Host]) -> Option<Home> {
    let now = state.now();
    let view = state.view();
    let alive: Vec<Host> = view
        .peers()
        .map(|entry| entry.host.clone())
        .filter(|host| view.state(host, now) == HostState::Alive && !tried.contains(host))
        .collect();
    let near: Vec<Host> =
        alive.iter().filter(|host| view.is_same_data_centre(host)).cloned().collect();
    let role = format!("heir/{}", state.home.host);
    let host = rendezvous(&role, if near.is_empty() { &alive } else { &near })?;
    Some(Home {
        data_centre: view.entry(host)?.data_centre.clone(),
        host: host.clone(),
        incarnation: view.incarnation(host)?,
    })
}

/// Sends the records in parts, and the tickets with the last part. Returns whether the peer counts
/// as the successor. If the answer to the last part is lost, the peer may have taken over: the
/// succession then stands, and no other peer may be asked.
async fn transfer_to(
    state: &Arc<State>,
    successor: &Home,
    tickets: &[HandedOverTickets],
    records: &[HandedOverRecord],
) -> bool {
    let mut parts = split_into_parts(records);
    let last = parts.pop().unwrap_or_default();
    for part in parts {
        let result = send_part(state, successor, Vec::new(), part, /* last */ false).await;
        if !matches!(result, CallResult::Answer(HandoverReply::Taken)) {
            return false;
        }
    }
    match send_part(state, successor, tickets.to_vec(), last, /* last */ true).await {
        CallResult::Answer(HandoverReply::Taken) | CallResult::Lost => true,
        CallResult::Answer(HandoverReply::Declined) | CallResult::Unsent => false,
    }
}

fn split_into_parts(records: &[HandedOverRecord]) -> Vec<Vec<HandedOverRecord>> {
    let mut parts: Vec<Vec<HandedOverRecord>> = vec![Vec::new()];
    let mut bytes = 0;
    for record in records {
        let size =
            record.outcome.as_ref().map_or(0, heathertrack_wire::caller::Outcome::memory_bytes);
        let full = parts.last().is_some_and(|part| part.len() >= MAX_PART_RECORDS);
        if full || bytes + size > MAX_PART_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(part) = parts.last_mut() {
            part.push(record.clone());
        }
    }
    parts
}

async fn send_part(
    state: &Arc<State>,
    successor: &Home,
    tickets: Vec<HandedOverTickets>,
    records: Vec<HandedOverRecord>,
    last: bool,
) -> CallResult<HandoverReply> {
    let part =
        HandoverPart { from: (&state.home).into(), to: successor.into(), tickets, records, last };
    state.peers.send_handover_part(state, &successor.host, part).await
}

/// Takes over one part of the records of a process that stops. Declines it if it is meant for
/// another process or if this one is stopping too.
pub fn accept_handover(state: &Arc<State>, part: HandoverPart) -> HandoverReply {
    let is_addressee = Incarnation(part.to.incarnation) == state.home.incarnation;
    if !is_addressee || state.phase() >= Phase::Draining {
        return HandoverReply::Declined;
    }
    home::import_records(state, &part.tickets, part.records);
    if part.last {
        let from = Home::from(&part.from);
        state.successions().record(from, state.home.clone(), state.now());
        heartbeats::send_to_all(state, /* include_remote */ true);
    }
    HandoverReply::Taken
}
