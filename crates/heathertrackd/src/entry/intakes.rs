//! Limits on what clients hold at each of the host's addresses.

use super::event_log::ms;
use super::node::{EntryHost, Environment};
use crate::intake::Intake;
use crate::metrics;
use heathertrack::intake::{Cause, Limits, Machine, Share};
use serde_json::json;
use std::time::Duration;

/// Interval between checks for connections that are without a whole request for too long, and between
/// the log lines about connections that were closed.
pub const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// The intakes of a host's listeners.
#[derive(Debug)]
pub struct Intakes {
    /// Of callers.
    pub callers: Intake,
    /// Of the balancer's readiness checks.
    pub readiness: Intake,
    /// Of other hosts until they have introduced themselves.
    pub peers: Intake,
    /// Of readers of metrics.
    pub metrics: Intake,
}

impl Intakes {
    /// Shares a machine between the listeners.
    pub fn new(machine: Machine) -> Self {
        let intake = |listener, share| Intake::new(listener, Limits::new(machine, share));
        Intakes {
            callers: intake("callers", Share::CALLERS),
            readiness: intake("readiness", Share::CHECKS),
            peers: intake("peers", Share::STRANGERS),
            metrics: intake("metrics", Share::CHECKS),
        }
    }

    fn all(&self) -> [&Intake; 4] {
        [&self.callers, &self.readiness, &self.peers, &self.metrics]
    }
}

impl<E: Environment> EntryHost<E> {
    /// Closes connections that are without a whole request for too long, and logs what was closed.
    pub(super) fn check_intakes(&self) {
        for intake in self.intakes.all() {
            for (cause, tally) in intake.check() {
                let (open, held) = intake.usage();
                let fields = json!({
                    "listener": intake.listener(), "cause": cause.name(), "closed": tally.connections,
                    "most_held": tally.most_held, "longest_ms": ms(tally.longest_unfinished),
                    "open": open, "held": held,
                });
                self.event_log.write("connections_closed", fields);
            }
        }
    }

    /// Sets the gauges of all listeners.
    pub(super) fn set_intake_gauges(&self) {
        for intake in self.intakes.all() {
            let (open, held) = intake.usage();
            metrics::set_intake(intake.listener(), open, held);
            // Exposes the causes that have not occurred.
            for cause in Cause::ALL {
                metrics::connections_closed(intake.listener(), cause.name(), 0);
            }
        }
    }
}
