//! Keeps this host's seats in the table of the platform's store.

mod gone;

use crate::gate;
use crate::log::Event;
use crate::metrics;
use crate::state::{Phase, State};
use gone::Gone;
use heathertrack::clock::Time;
use heathertrack::share::{Duty, Holder, Seat, Table};
use heathertrack_platform::{Store, Swap, Swapped, Value};
use heathertrack_wire::seats::Seats;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// How often the table is read.
const EVERY: Duration = Duration::from_secs(1);
/// Added to the longest loan before inherited seats are used.
const SPARE: Duration = Duration::from_secs(1);

/// Starts the loop that keeps the seats.
pub fn spawn<S: Store>(state: &Arc<State>, store: S) {
    let keeper = Keeper {
        state: state.clone(),
        store,
        own: Holder {
            host: state.home.host.clone(),
            incarnation: state.home.incarnation,
        },
        confirmed: BTreeMap::new(),
        retired: Vec::new(),
        inherited: BTreeSet::new(),
        gone: Gone::default(),
    };
    tokio::spawn(keeper.keep());
}

struct Keeper<S> {
    state: Arc<State>,
    store: S,
    own: Holder,
    /// Seats that the table gives to this process, and from when they may be used.
    confirmed: BTreeMap<Seat, Time>,
    /// Seats out of use here, to be given up.
    retired: Vec<Seat>,
    /// Seats that this process tried to take from one that is gone.
    inherited: BTreeSet<Seat>,
    gone: Gone,
}

impl<S: Store> Keeper<S> {
    async fn keep(mut self) {
        let mut ticks = self.state.timer.every(EVERY).await;
        while ticks.next().await.is_some() && !self.state.ended.is_cancelled() {
            if self.state.phase() >= Phase::Draining {
                return self.leave().await;
            }
            self.round().await;
        }
    }

    fn key(&self) -> String {
        format!("{}/seats", self.state.settings.platform.prefix)
    }

    async fn round(&mut self) {
        let Some((table, revision)) = self.read().await else {
            return;
        };
        self.confirm(&table);
        self.gone.look(&self.state).await;
        let duty = table.duty(&self.own, |holder| {
            self.gone.proves(holder, self.state.now())
        });
        match duty {
            Duty::Rest => {}
            Duty::Retire(seats) => {
                self.retired = seats;
                self.apply();
                if self.state.gate.fits() {
                    self.release(&table, revision).await;
                }
            }
            Duty::Write {
                table, inherited, ..
            } => {
                // Noted first: the write may take effect though its answer is lost.
                self.inherited.extend(inherited);
                if self.write(&table, revision).await {
                    self.confirm(&table);
                }
            }
        }
    }

    /// Gives up the retired seats, on which nothing depends any more.
    async fn release(&mut self, table: &Table, revision: u64) {
        let smaller = table.release(&self.own, &self.retired);
        if self.write(&smaller, revision).await {
            self.confirm(&smaller);
            self.retired.clear();
        }
    }

    /// Gives up all seats as this process stops, once nothing depends on them. A process that
    /// can't wait so long leaves them to whoever proves that it is gone.
    async fn leave(&mut self) {
        let mut ticks = self.state.timer.every(Duration::from_millis(100)).await;
        self.retired = self.confirmed.keys().copied().collect();
        self.apply();
        while ticks.next().await.is_some() && !self.state.ended.is_cancelled() {
            if !self.state.gate.is_clear() {
                continue;
            }
            let Some((table, revision)) = self.read().await else {
                continue;
            };
            let without = table.leave(&self.own);
            if without == table || self.write(&without, revision).await {
                return;
            }
        }
    }

    /// Takes what the table says of this process; inherited seats are left alone for a while.
    fn confirm(&mut self, table: &Table) {
        let now = self.state.now();
        let held = table.of(&self.own);
        self.confirmed.retain(|seat, _| held.contains(seat));
        let quiet = gate::longest_term(&self.state) + SPARE;
        for seat in held {
            let from = if self.inherited.contains(&seat) {
                now + quiet
            } else {
                now
            };
            self.confirmed.entry(seat).or_insert(from);
        }
        self.retired
            .retain(|seat| self.confirmed.contains_key(seat));
        self.apply();
    }

    /// Puts the seats that may be used into force.
    fn apply(&self) {
        let now = self.state.now();
        let usable = |(seat, from): (&Seat, &Time)| {
            (*from <= now && !self.retired.contains(seat)).then_some(*seat)
        };
        self.state
            .gate
            .set_seats(self.confirmed.iter().filter_map(usable).collect());
        crate::lists::split(&self.state);
    }

    async fn read(&self) -> Option<(Table, u64)> {
        metrics::store_call("seats");
        match self.store.get(&self.key()).await {
            Ok(Some(value)) => self.parse(&value),
            Ok(None) => Some((Table::default(), 0)),
            Err(fault) => {
                metrics::store_fault("seats");
                self.state
                    .log
                    .write(&Event::PlatformFault("seats", fault.to_string()));
                None
            }
        }
    }

    fn parse(&self, value: &Value) -> Option<(Table, u64)> {
        match Seats::read(&value.data) {
            Ok(table) => Some((table, value.revision)),
            Err(error) => {
                self.state
                    .log
                    .write(&Event::PlatformFault("seats", error.to_string()));
                None
            }
        }
    }

    /// Writes the table. If the answer is lost, the next round reads what came of it; until then
    /// nothing that it would have given is used.
    async fn write(&self, table: &Table, revision: u64) -> bool {
        let swap = Swap {
            key: self.key(),
            expected: revision,
            value: Seats::write(table),
        };
        metrics::store_call("seats");
        match self.store.swap(vec![swap]).await {
            Ok(swapped) => matches!(swapped.first(), Some(Swapped::Done(_))),
            Err(fault) => {
                metrics::store_fault("seats");
                self.state
                    .log
                    .write(&Event::PlatformFault("seats", fault.to_string()));
                false
            }
        }
    }
}
