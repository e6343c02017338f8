//! Faults in load pattern files.

use super::{PatternError, check_range};
use crate::fault::{Fault, FaultKind};
use serde::Deserialize;
use std::time::Duration;

/// Latest time and longest duration of a fault, in seconds.
const MAX_TIME_S: f64 = 600.0;

/// The file format of a fault. Times are in seconds; [`FaultKind`] describes the kinds and fields.
#[derive(Debug, Deserialize)]
pub struct FaultEntry {
    at_s: f64,
    #[serde(flatten)]
    kind: KindEntry,
}

#[derive(Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
enum KindEntry {
    Kill { host: usize, down_s: f64 },
    Power { host: usize, down_s: f64 },
    KillAll { down_s: f64 },
    Freeze { host: usize, span_s: f64 },
    Stop { host: usize },
    KillWhileStopping { host: usize, after_s: f64, down_s: f64 },
    IsolateHost { host: usize, span_s: f64 },
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
    Evacuate { centre: usize, span_s: f64 },
    CutFromStore { host: usize, span_s: f64 },
    Compact,
    Burst { factor: f64, span_s: f64 },
    Leaving { share: f64, span_s: f64 },
    Deadly { share: f64, span_s: f64 },
}

impl TryFrom<FaultEntry> for Fault {
    type Error = PatternError;

    fn try_from(entry: FaultEntry) -> Result<Self, PatternError> {
        Ok(Fault { at: seconds("at_s", entry.at_s)?, kind: entry.kind.try_into()? })
    }
}

impl TryFrom<KindEntry> for FaultKind {
    type Error = PatternError;

    fn try_from(kind: KindEntry) -> Result<Self, PatternError> {
        let down = |down_s| seconds("down_s", down_s);
        let span = |span_s| seconds("span_s", span_s);
        let share = |value| check_range("share", value, 0.0, 1.0);
        let factor = |value| check_range("factor", value, 0.01, 100.0);
        Ok(match kind {
            KindEntry::Kill { host, down_s } => FaultKind::Kill { host, down: down(down_s)? },
            KindEntry::Power { host, down_s } => FaultKind::Power { host, down: down(down_s)? },
            KindEntry::KillAll { down_s } => FaultKind::KillAll { down: down(down_s)? },
            KindEntry::Freeze { host, span_s } => FaultKind::Freeze { host, span: span(span_s)? },
            KindEntry::Stop { host } => FaultKind::Stop { host },
            KindEntry::KillWhileStopping { host, after_s, down_s } => {
                let after = seconds("after_s", after_s)?;
                FaultKind::KillWhileStopping { host, after, down: down(down_s)? }
            }
            KindEntry::IsolateHost { host, span_s } => {
                FaultKind::IsolateHost { host, span: span(span_s)? }
            }
            KindEntry::CutHosts { from, to, span_s } => {
                FaultKind::CutHosts { from, to, span: span(span_s)? }
            }
            KindEntry::CutUpstreams { host, share: part, back, span_s } => {
                FaultKind::CutUpstreams { host, share: share(part)?, back, span: span(span_s)? }
            }
            KindEntry::ResetUpstreams { host, share: part, span_s } => {
                FaultKind::ResetUpstreams { host, share: share(part)?, span: span(span_s)? }
            }
            KindEntry::CutCentre { centre, span_s } => {
                FaultKind::CutCentre { centre, span: span(span_s)? }
            }
            KindEntry::LateOrders { share: part, span_s } => {
                FaultKind::LateOrders { share: share(part)?, span: span(span_s)? }
            }
            KindEntry::LostAnswers { share: part, span_s } => {
                FaultKind::LostAnswers { share: share(part)?, span: span(span_s)? }
            }
            KindEntry::Crash { upstream, down_s } => {
                FaultKind::Crash { upstream, down: down(down_s)? }
            }
            KindEntry::Failing { upstream, span_s } => {
                FaultKind::Failing { upstream, span: span(span_s)? }
            }
            KindEntry::Hanging { upstream, span_s } => {
                FaultKind::Hanging { upstream, span: span(span_s)? }
            }
            KindEntry::Slow { upstream, factor: times, span_s } => {
                FaultKind::Slow { upstream, factor: factor(times)?, span: span(span_s)? }
            }
            KindEntry::Drain { upstream, after_s } => {
                FaultKind::Drain { upstream, after: seconds("after_s", after_s)? }
            }
            KindEntry::StoreDown { span_s } => FaultKind::StoreDown { span: span(span_s)? },
            KindEntry::Evacuate { centre, span_s } => {
                FaultKind::Evacuate { centre, span: span(span_s)? }
            }
            KindEntry::CutFromStore { host, span_s } => {
                FaultKind::CutFromStore { host, span: span(span_s)? }
            }
            KindEntry::Compact => FaultKind::Compact,
            KindEntry::Burst { factor: times, span_s } => {
                FaultKind::Burst { factor: factor(times)?, span: span(span_s)? }
            }
            KindEntry::Leaving { share: part, span_s } => {
                FaultKind::Leaving { share: share(part)?, span: span(span_s)? }
            }
            KindEntry::Deadly { share: part, span_s } => {
                FaultKind::Deadly { share: share(part)?, span: span(span_s)? }
            }
        })
    }
}

fn seconds(field: &'static str, value: f64) -> Result<Duration, PatternError> {
    check_range(field, value, 0.0, MAX_TIME_S).map(Duration::from_secs_f64)
}
