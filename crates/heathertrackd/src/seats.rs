//! Maintains this host's seats in the seat table of the platform's store.

mod table_notice;

pub use table_notice::TableNotice;

use crate::gate;
use crate::heartbeats;
use crate::log::Event;
use crate::metrics;
use crate::state::{Phase, State};
use heathertrack::share::{GoneDetector, Holder, SeatManager, SeatTable};
use heathertrack_platform::{Store, Swap, SwapResult, Value};
use heathertrack_wire::seats::Seats;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which the table is read; it is read earlier only when a peer reports a newer one.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a stopping process checks whether it may give up its seats.
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Added to the longest term of a loan before inherited seats are used.
const INHERIT_MARGIN: Duration = Duration::from_secs(1);

/// Starts the loop that maintains the seats.
pub fn spawn<S: Store>(state: &Arc<State>, store: S) {
    let own = Holder { host: state.home.host.clone(), incarnation: state.home.incarnation };
    let seat_loop = SeatLoop {
        state: state.clone(),
        store,
        seat_manager: SeatManager::new(own),
        gone_detector: GoneDetector::default(),
        last_table: TableRevision::default(),
    };
    tokio::spawn(seat_loop.run());
}

struct SeatLoop<S> {
    state: Arc<State>,
    store: S,
    seat_manager: SeatManager,
    gone_detector: GoneDetector,
    /// The table as last read or written.
    last_table: TableRevision,
}

/// A seat table and its revision in the store.
#[derive(Clone, Debug, Default)]
struct TableRevision {
    table: SeatTable,
    revision: u64,
}

impl<S: Store> SeatLoop<S> {
    async fn run(mut self) {
        let mut ticks = self.state.timer.every(READ_INTERVAL);
        let state = self.state.clone();
        loop {
            tokio::select! {
                tick = ticks.next() => if tick.is_none() { return },
                () = state.seats.wait_for_newer() => {}
            }
            if state.shutdown.is_cancelled() {
                return;
            }
            if state.phase() >= Phase::Draining {
                return self.leave().await;
            }
            self.reconcile().await;
        }
    }

    /// Reads the table, updates the usable seats, and writes at most one new table: with a change
    /// that is due, or without the retired seats once the tasks in flight and the loans fit into
    /// the others. Does nothing while the lists are unknown, as the quiet period of inherited seats
    /// follows from the longest deadline.
    async fn reconcile(&mut self) {
        if !self.state.lists.are_known() {
            return;
        }
        let Some(read) = self.read().await else {
            return;
        };
        self.confirm(&read.table);
        let now = self.state.now();
        self.gone_detector.observe(&self.state.view(), now);
        let gone_detector = &self.gone_detector;
        let changed =
            self.seat_manager.plan(&read.table, |holder| gone_detector.proves_gone(holder, now));
        self.apply();
        if let Some(table) = changed {
            self.write(table, read.revision).await;
        } else if self.state.gate.fits_shares()
            && let Some(without_retired) = self.seat_manager.release(&read.table, now)
        {
            self.write(without_retired, read.revision).await;
        }
    }

    /// Gives up all seats when this process stops, once no task or loan depends on them. If the
    /// process ends earlier, other processes take its seats over after proving that it is gone.
    async fn leave(&mut self) {
        let mut ticks = self.state.timer.every(LEAVE_CHECK_INTERVAL);
        self.seat_manager.retire_all();
        self.apply();
        while ticks.next().await.is_some() && !self.state.shutdown.is_cancelled() {
            if !self.state.gate.is_unused() {
                continue;
            }
            let Some(read) = self.read().await else {
                continue;
            };
            let Some(without_own) = self.seat_manager.release_all(&read.table, self.state.now())
            else {
                return;
            };
            if self.write(without_own, read.revision).await {
                return;
            }
        }
    }

    /// Updates the usable seats from a table that was just read or written.
    fn confirm(&mut self, table: &SeatTable) {
        let quiet_period = gate::longest_term(&self.state) + INHERIT_MARGIN;
        self.seat_manager.confirm(table, quiet_period, self.state.now());
        self.apply();
    }

    /// Applies the usable seats to the gate and recomputes the shares.
    fn apply(&self) {
        self.state.gate.set_seats(self.seat_manager.usable(self.state.now()));
        crate::lists::recompute_shares(&self.state);
    }

    fn key(&self) -> String {
        format!("{}/seats", self.state.settings.platform.prefix)
    }

    /// Returns the current table, or `None` if it can't be read. The store sends the table only if
    /// it is newer than the last one seen here.
    async fn read(&mut self) -> Option<TableRevision> {
        metrics::platform_call("seats");
        match self.store.get_newer(&self.key(), self.last_table.revision).await {
            Ok(Some(value)) => {
                self.remember(self.parse(&value)?);
                Some(self.last_table.clone())
            }
            Ok(None) => Some(self.last_table.clone()),
            Err(error) => {
                self.log_fault(&error.to_string());
                None
            }
        }
    }

    fn remember(&mut self, read: TableRevision) {
        self.state.seats.record(read.revision);
        self.last_table = read;
    }

    fn parse(&self, value: &Value) -> Option<TableRevision> {
        match Seats::decode(&value.data) {
            Ok(table) => Some(TableRevision { table, revision: value.revision }),
            Err(error) => {
                self.log_fault(&error.to_string());
                None
            }
        }
    }

    /// Writes the table and notifies the peers, so that released seats don't stay unused until the
    /// peers' next read. Returns whether the write is known to have taken effect. If its answer is
    /// lost, the next round reads the result; until then, no seat that it would have added is used.
    async fn write(&mut self, table: SeatTable, revision: u64) -> bool {
        let swap = Swap { key: self.key(), expected: revision, value: Seats::encode(&table) };
        metrics::platform_call("seats");
        match self.store.swap(vec![swap]).await {
            Ok(swapped) => {
                let Some(SwapResult::Applied(revision)) = swapped.first() else {
                    return false;
                };
                self.confirm(&table);
                self.remember(TableRevision { table, revision: *revision });
                heartbeats::send_to_all(&self.state, /* include_remote */ true);
                true
            }
            Err(error) => {
                self.log_fault(&error.to_string());
                false
            }
        }
    }

    fn log_fault(&self, error: &str) {
        metrics::platform_fault("seats");
        self.state.log.write(&Event::PlatformFault("seats", error.to_owned()));
    }
}
