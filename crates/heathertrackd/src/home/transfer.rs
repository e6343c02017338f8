//! Transfers records to a peer at a planned stop.

use crate::state::State;
use heathertrack::clock::Time;
use heathertrack::home::PartedOffice;
use heathertrack::record::{Digest, Key, Parted};
use heathertrack::ticket::{Home, Secret};
use heathertrack_wire::caller::Outcome;
use heathertrack_wire::frame::{PartedRecord, PartedTickets};
use std::sync::Arc;
use std::time::Duration;

/// Removes the records of all finished jobs, to be transferred to a peer. This process answers no
/// submission from its records after that.
pub fn export_records(state: &State) -> (Vec<PartedTickets>, Vec<PartedRecord>) {
    let now = state.now();
    let (offices, records) = state.desk().part(now);
    let tickets = offices.into_iter().map(|office| PartedTickets {
        home: (&office.home).into(),
        secret: office.secret.0,
        now_us: office.now.as_micros(),
    });
    let records = records.into_iter().map(|parted| PartedRecord {
        customer: parted.key.customer.to_string(),
        key: parted.key.text.to_string(),
        digest: parted.digest.map(|digest| digest.0),
        accept_for_us: u64::try_from(parted.accept_until.since(now).as_micros()).unwrap_or(0),
        outcome: parted.answer.map(Arc::unwrap_or_clone),
    });
    (tickets.collect(), records.collect())
}

/// Takes over records from a process that stops. Its tickets come with the last part.
pub fn import_records(state: &State, tickets: &[PartedTickets], records: Vec<PartedRecord>) {
    let now = state.now();
    let mut desk = state.desk();
    for record in records {
        let bytes = record.outcome.as_ref().map_or(0, Outcome::bytes);
        let parted = Parted {
            key: Key::new(&record.customer, &record.key),
            digest: record.digest.map(Digest),
            accept_until: now + Duration::from_micros(record.accept_for_us),
            answer: record.outcome.map(Arc::new),
        };
        desk.adopt_record(parted, bytes);
    }
    for office in tickets {
        let parted = PartedOffice {
            home: Home::from(&office.home),
            secret: Secret(office.secret),
            now: Time::from_micros(office.now_us),
        };
        desk.adopt_office(parted, now);
    }
}
