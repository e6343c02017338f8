//! Faults in load pattern files.

use super::{PatternError, within};
use crate::fault::{Fault, Trouble};
use serde::Deserialize;
use std::time::Duration;

/// Latest time and longest duration of a fault, in seconds.
const LONGEST_S: f64 = 600.0;

/// The file format of a fault. Hosts, upstreams and data centres are numbered from zero.
#[derive(Debug, Deserialize)]
pub struct Wire {
    at_s: f64,
    #[serde(flatten)]
    kind: Kind,
}

#[derive(Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
enum Kind {
    Kill { host: usize, down_s: f64 },
    Power { host: usize, down_s: f64 },
    KillAll { down_s: f64 },
    Freeze { host: usize, span_s: f64 },
    Stop { host: usize },
    CutHosts { from: usize, to: usize, span_s: f64 },
    CutUpstreams { host: usize, share: f64, back: bool, span_s: f64 },
    ResetUpstreams { host: usize, share: f64, span_s: f64 },
    CutCentre { centre: usize, span_s: f64 },
    LateOrders { share: f64, span_s: f64 },
    LostAnswers { share: f64, span_s: f64 },
    Crash { upstream: usize, down_s: f64 },
    Failing { upstream: usize, span_s: f64 },
    Hanging { upstream: usize, span_s: f64 },
    Slow { upstream: usize, factor: f64, span_s: f64 },
    Drain { upstream: usize, after_s: f64 },
    StoreDown { span_s: f64 },
    Burst { factor: f64, span_s: f64 },
    Leaving { share: f64, span_s: f64 },
}

impl TryFrom<Wire> for Fault {
    type Error = PatternError;

    fn try_from(wire: Wire) -> Result<Self, PatternError> {
        Ok(Fault { at: seconds("at_s", wire.at_s)?, trouble: wire.kind.try_into()? })
    }
}

impl TryFrom<Kind> for Trouble {
    type Error = PatternError;

    fn try_from(kind: Kind) -> Result<Self, PatternError> {
        let down = |down_s| seconds("down_s", down_s);
        let span = |span_s| seconds("span_s", span_s);
        let share = |value| within("share", value, 0.0, 1.0);
        let factor = |value| within("factor", value, 0.01, 100.0);
        Ok(match kind {
            Kind::Kill { host, down_s } => Trouble::Kill { host, down: down(down_s)? },
            Kind::Power { host, down_s } => Trouble::Power { host, down: down(down_s)? },
            Kind::KillAll { down_s } => Trouble::KillAll { down: down(down_s)? },
            Kind::Freeze { host, span_s } => Trouble::Freeze { host, span: span(span_s)? },
            Kind::Stop { host } => Trouble::Stop { host },
            Kind::CutHosts { from, to, span_s } => {
                Trouble::CutHosts { from, to, span: span(span_s)? }
            }
            Kind::CutUpstreams { host, share: part, back, span_s } => {
                Trouble::CutUpstreams { host, share: share(part)?, back, span: span(span_s)? }
            }
            Kind::ResetUpstreams { host, share: part, span_s } => {
                Trouble::ResetUpstreams { host, share: share(part)?, span: span(span_s)? }
            }
            Kind::CutCentre { centre, span_s } => {
                Trouble::CutCentre { centre, span: span(span_s)? }
            }
            Kind::LateOrders { share: part, span_s } => {
                Trouble::LateOrders { share: share(part)?, span: span(span_s)? }
            }
            Kind::LostAnswers { share: part, span_s } => {
                Trouble::LostAnswers { share: share(part)?, span: span(span_s)? }
            }
            Kind::Crash { upstream, down_s } => Trouble::Crash { upstream, down: down(down_s)? },
            Kind::Failing { upstream, span_s } => {
                Trouble::Failing { upstream, span: span(span_s)? }
            }
            Kind::Hanging { upstream, span_s } => {
                Trouble::Hanging { upstream, span: span(span_s)? }
            }
            Kind::Slow { upstream, factor: times, span_s } => {
                Trouble::Slow { upstream, factor: factor(times)?, span: span(span_s)? }
            }
            Kind::Drain { upstream, after_s } => {
                Trouble::Drain { upstream, after: seconds("after_s", after_s)? }
            }
            Kind::StoreDown { span_s } => Trouble::StoreDown { span: span(span_s)? },
            Kind::Burst { factor: times, span_s } => {
                Trouble::Burst { factor: factor(times)?, span: span(span_s)? }
            }
            Kind::Leaving { share: part, span_s } => {
                Trouble::Leaving { share: share(part)?, span: span(span_s)? }
            }
        })
    }
}

fn seconds(field: &'static str, value: f64) -> Result<Duration, PatternError> {
    within(field, value, 0.0, LONGEST_S).map(Duration::from_secs_f64)
}
