//! Transfers records to a peer at a planned stop.

use crate::state::State;
use heathertrack::clock::Time;
use heathertrack::home::TicketHandover;
use heathertrack::record::{Digest, Key, RecordHandover};
use heathertrack::ticket::{Home, Secret};
use heathertrack_wire::caller::Outcome;
use heathertrack_wire::frame::{HandedOverRecord, HandedOverTickets};
use std::sync::Arc;
use std::time::Duration;

/// Removes the records of all finished jobs, to be transferred to a peer. This process answers no
/// submission from its records after that.
pub fn export_records(state: &State) -> (Vec<HandedOverTickets>, Vec<HandedOverRecord>) {
    let now = state.now();
    let (ticket_handovers, record_handovers) = state.submissions().hand_over(now);
    let tickets = ticket_handovers.into_iter().map(|handover| HandedOverTickets {
        home: (&handover.home).into(),
        secret: handover.secret.0,
        now_us: handover.now.as_micros(),
    });
    let records = record_handovers.into_iter().map(|handover| HandedOverRecord {
        customer: handover.key.customer.to_string(),
        key: handover.key.text.to_string(),
        digest: handover.digest.map(|digest| digest.0),
        accept_for_us: u64::try_from(handover.accept_until.since(now).as_micros()).unwrap_or(0),
        outcome: handover.answer.map(Arc::unwrap_or_clone),
    });
    (tickets.collect(), records.collect())
}

/// Takes over one part of the records of a process that stops. Only the last part has tickets.
pub fn import_records(
    state: &State,
    tickets: &[HandedOverTickets],
    records: Vec<HandedOverRecord>,
) {
    let now = state.now();
    let mut submissions = state.submissions();
    for record in records {
        let bytes = record.outcome.as_ref().map_or(0, Outcome::memory_bytes);
        let handover = RecordHandover {
            key: Key::new(&record.customer, &record.key),
            digest: record.digest.map(Digest),
            accept_until: now + Duration::from_micros(record.accept_for_us),
            answer: record.outcome.map(Arc::new),
        };
        submissions.adopt_record(handover, bytes);
    }
    for received in tickets {
        let handover = TicketHandover {
            home: Home::from(&received.home),
            secret: Secret(received.secret),
            now: Time::from_micros(received.now_us),
        };
        submissions.adopt_tickets(handover, now);
    }
}
