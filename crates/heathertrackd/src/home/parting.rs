//! Records that change hands at a planned stop.

use super::offices::Adopted;
use crate::state::{Phase, State};
use heathertrack::clock::Time;
use heathertrack::record::{Digest, Key, Parted};
use heathertrack::ticket::{Home, Issuer, Secret};
use heathertrack_wire::frame::{PartedRecord, PartedTickets};
use std::sync::Arc;
use std::time::Duration;

/// Takes out everything that has ended, to be handed to a peer. No submission is answered from
/// these records any more.
pub fn part(state: &State) -> (Vec<PartedTickets>, Vec<PartedRecord>) {
    let now = state.now();
    let tickets = state.homes.offices().part(now);
    let tickets = tickets
        .into_iter()
        .map(|(home, secret, now_us)| PartedTickets {
            home: (&home).into(),
            secret,
            now_us,
        });
    let records = {
        // Submissions ask for the phase under this lock.
        let mut records = state.homes.records();
        state.enter(Phase::Parted);
        records.part()
    };
    let records = records.into_iter().map(|parted| PartedRecord {
        customer: parted.key.customer.to_string(),
        key: parted.key.text.to_string(),
        digest: parted.digest.map(|digest| digest.0),
        accept_for_us: u64::try_from(parted.accept_until.since(now).as_micros()).unwrap_or(0),
        outcome: parted.answer.map(Arc::unwrap_or_clone),
    });
    (tickets.collect(), records.collect())
}

/// Takes over tickets and records from a process that stops.
pub fn adopt(state: &State, tickets: &[PartedTickets], records: Vec<PartedRecord>) {
    let now = state.now();
    for parted in tickets {
        adopt_tickets(state, parted, now);
    }
    let mut own = state.homes.records();
    for record in records {
        let bytes = record
            .outcome
            .as_ref()
            .map_or(0, heathertrack_wire::caller::Outcome::bytes);
        let parted = Parted {
            key: Key::new(&record.customer, &record.key),
            digest: record.digest.map(Digest),
            accept_until: now + Duration::from_micros(record.accept_for_us),
            answer: record.outcome.map(Arc::new),
        };
        own.adopt(parted, bytes);
    }
}

fn adopt_tickets(state: &State, parted: &PartedTickets, now: Time) {
    let home = Home::from(&parted.home);
    let mut offices = state.homes.offices();
    if offices.keeps(&home) {
        return;
    }
    let offset_us = i128::from(now.as_micros()) - i128::from(parted.now_us);
    offices.adopt(Adopted {
        issuer: Issuer::new(home, Secret(parted.secret)),
        offset_us,
    });
}
