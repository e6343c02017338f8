//! Planned stop: lets work in progress end and transfers the records to a peer.

use crate::home;
use crate::log::Event;
use crate::peers::Sent;
use crate::placement;
use crate::state::{Phase, State};
use crate::{beats, hosts};
use heathertrack::membership::{State as Standing, rendezvous};
use heathertrack::name::Host;
use heathertrack::ticket::{Home, Incarnation};
use heathertrack_wire::frame::{Acceptance, HandOver, PartedRecord, PartedTickets};
use std::sync::Arc;
use std::time::Duration;

/// Interval at which the process checks whether its work has ended.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Time beyond the longest deadline for which the process waits for its work to end.
const SPARE: Duration = Duration::from_secs(5);
/// Most records in one part of a handover.
const PART_RECORDS: usize = 256;
/// Approximate limit on the bytes of answers in one part of a handover.
const PART_BYTES: usize = 4 << 20;
/// Time allowed for loans to be repaid; seats still held after it are left to other hosts.
const SEATS_WAIT: Duration = Duration::from_secs(2);
/// Attempts at a handover, each with another peer.
const TRIES: usize = 3;

/// Ends the work of this process and transfers its records to a peer.
pub async fn run(state: &Arc<State>) {
    state.log.write(&Event::Draining);
    state.enter(Phase::Notice);
    state.timer.wait(state.settings.limits.drain_notice).await;
    state.enter(Phase::Draining);
    state.desk().close();
    state.view().drain();
    beats::tell_all(state, true);
    hosts::reassign(state);
    finish_work(state).await;
    hand_over(state).await;
    // Peers must learn of the succession before this process ends.
    beats::tell_all(state, true);
    state.timer.wait(SEATS_WAIT).await;
}

async fn finish_work(state: &Arc<State>) {
    let longest = state.lists.longest_deadline() + SPARE;
    let end = state.now() + longest;
    while state.now() < end {
        placement::pass_on_all(state);
        if state.desk().records().running() == 0 && state.work.is_empty() {
            return;
        }
        state.timer.wait(LOOK_EVERY).await;
    }
}

async fn hand_over(state: &Arc<State>) {
    let (tickets, records) = home::part(state);
    state.enter(Phase::Parted);
    let mut tried: Vec<Host> = Vec::new();
    for _ in 0..TRIES {
        let Some(heir) = choose_heir(state, &tried) else {
            break;
        };
        tried.push(heir.host.clone());
        if hand_to(state, &heir, &tickets, &records).await {
            state.successions().note(state.home.clone(), heir.clone(), state.now());
            state.log.write(&Event::HandedOver(heir.host.to_string()));
            return;
        }
    }
    let count = records.len();
    state.log.write(&Event::NotHandedOver(format!("{count} records; no peer took them")));
}

/// Chooses the peer that takes over, preferably one of this data centre.
fn choose_heir(state: &State, tried: &[Host]) -> Option<Home> {
    let now = state.now();
    let view = state.view();
    let alive: Vec<Host> = view
        .peers()
        .map(|entry| entry.host.clone())
        .filter(|host| view.state(host, now) == Standing::Alive && !tried.contains(host))
        .collect();
    let near: Vec<Host> = alive.iter().filter(|host| view.is_near(host)).cloned().collect();
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
async fn hand_to(
    state: &Arc<State>,
    heir: &Home,
    tickets: &[PartedTickets],
    records: &[PartedRecord],
) -> bool {
    let mut parts = split(records);
    let last = parts.pop().unwrap_or_default();
    for part in parts {
        let sent = send(state, heir, Vec::new(), part, false).await;
        if !matches!(sent, Sent::Answer(Acceptance::Taken)) {
            return false;
        }
    }
    match send(state, heir, tickets.to_vec(), last, true).await {
        Sent::Answer(Acceptance::Taken) | Sent::Lost => true,
        Sent::Answer(Acceptance::Declined) | Sent::Unsent => false,
    }
}

fn split(records: &[PartedRecord]) -> Vec<Vec<PartedRecord>> {
    let mut parts: Vec<Vec<PartedRecord>> = vec![Vec::new()];
    let mut bytes = 0;
    for record in records {
        let size = record.outcome.as_ref().map_or(0, heathertrack_wire::caller::Outcome::bytes);
        let full = parts.last().is_some_and(|part| part.len() >= PART_RECORDS);
        if full || bytes + size > PART_BYTES {
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

async fn send(
    state: &Arc<State>,
    heir: &Home,
    tickets: Vec<PartedTickets>,
    records: Vec<PartedRecord>,
    last: bool,
) -> Sent<Acceptance> {
    let part = HandOver { from: (&state.home).into(), to: heir.into(), tickets, records, last };
    state.peers.take_over(state, &heir.host, part).await
}

/// Takes over one part of the records of a process that stops.
pub fn take_over(state: &Arc<State>, part: HandOver) -> Acceptance {
    let meant_here = Incarnation(part.to.incarnation) == state.home.incarnation;
    if !meant_here || state.phase() >= Phase::Draining {
        return Acceptance::Declined;
    }
    home::adopt(state, &part.tickets, part.records);
    if part.last {
        let from = Home::from(&part.from);
        state.successions().note(from, state.home.clone(), state.now());
        beats::tell_all(state, true);
    }
    Acceptance::Taken
}
