//! Load patterns: JSON files that describe the site, load and faults of a simulation.

mod fault;

use crate::fault::{Fault, FaultKind};
use crate::load::Load;
use crate::plan::{Plan, Site};
use crate::upstream::Slowdown;
use heathertrack::pool::Options;
use serde::Deserialize;
use std::time::Duration;
use thiserror::Error;

/// Longest simulation, in seconds. All jobs of a simulation are kept in memory.
const MAX_LENGTH_S: f64 = 600.0;
/// Largest factor by which a neighbour lengthens a run.
const MAX_SLOWDOWN: f64 = 100.0;
/// Largest load, relative to the load that the users specify.
const MAX_LOAD: f64 = 100.0;

/// A load pattern file.
///
/// ```
/// let text = r#"{ "seconds": 20, "load": 0.9,
///     "faults": [{ "at_s": 5, "kind": "burst", "factor": 1.5, "span_s": 4 }] }"#;
/// let plan = heathertrack_model::Pattern::parse(text)?.plan(1);
/// assert_eq!(plan.faults.len(), 1);
/// # Ok::<(), heathertrack_model::PatternError>(())
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Pattern {
    site: Site,
    load: Load,
    length: Duration,
    faults: Vec<Fault>,
}

/// Why a load pattern can't be used.
#[derive(Debug, Error)]
pub enum PatternError {
    /// The text is not JSON of the expected form.
    #[error("invalid load pattern: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A fault refers to a host, upstream or data centre that the site does not have, or to a path
    /// from a host to itself.
    #[error("fault refers to a host, upstream or data centre that the site does not have: {0:?}")]
    UnknownTarget(FaultKind),
    /// A slowdown names a class that the load does not have.
    #[error("slowdown names {0:?}, which is not a class of the load")]
    UnknownClass(String),
    /// A value is out of range.
    #[error("{field} is {value}, but must be between {min} and {max}")]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// The rejected value.
        value: f64,
        /// Smallest valid value.
        min: f64,
        /// Largest valid value.
        max: f64,
    },
}

impl Pattern {
    /// Parses the text of a load pattern file.
    pub fn parse(text: &str) -> Result<Self, PatternError> {
        serde_json::from_str::<PatternFile>(text)?.try_into()
    }

    /// Returns the plan of a simulation with this pattern and seed.
    pub fn plan(&self, seed: u64) -> Plan {
        Plan {
            seed,
            site: self.site.clone(),
            length: self.length,
            load: self.load.clone(),
            faults: self.faults.clone(),
            options: Options::default(),
        }
    }
}

/// The file format of a load pattern.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PatternFile {
    /// Differences from the site of the user Virumaa.
    #[serde(default)]
    site: SiteEntry,
    /// Time during which callers arrive, in seconds.
    seconds: f64,
    /// Load relative to the load that the users specify.
    load: f64,
    /// Share of the callers that submit a refused job once more, after the given retry time.
    #[serde(default)]
    returning: f64,
    /// Classes whose tasks are slowed by others beside them.
    #[serde(default)]
    slowdowns: Vec<SlowdownEntry>,
    /// Faults to inject.
    #[serde(default)]
    faults: Vec<fault::FaultEntry>,
}

/// The file format of a slowdown, with names of classes.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SlowdownEntry {
    slowed: String,
    by: String,
    /// Factor by which each neighbour lengthens a run.
    factor: f64,
}

impl TryFrom<SlowdownEntry> for Slowdown {
    type Error = PatternError;

    fn try_from(entry: SlowdownEntry) -> Result<Self, PatternError> {
        let classes = Load::specified().classes;
        let index = |name: String| {
            let index = classes.iter().position(|class| class.name == name);
            index.ok_or(PatternError::UnknownClass(name))
        };
        let factor = check_range("slowdown", entry.factor, 1.0, MAX_SLOWDOWN)?;
        Ok(Slowdown { slowed: index(entry.slowed)?, by: index(entry.by)?, factor })
    }
}

/// The file format of a site. Missing fields default to Virumaa's.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct SiteEntry {
    centres: Option<usize>,
    hosts_each: Option<usize>,
    cpu_shares: Option<Vec<f64>>,
    upstreams_each: Option<usize>,
    speeds: Option<Vec<f64>>,
    near_ms: Option<f64>,
    far_ms: Option<f64>,
}

impl TryFrom<PatternFile> for Pattern {
    type Error = PatternError;

    fn try_from(entry: PatternFile) -> Result<Self, PatternError> {
        let seconds = check_range("seconds", entry.seconds, 0.1, MAX_LENGTH_S)?;
        let factor = check_range("load", entry.load, 0.01, MAX_LOAD)?;
        let returning = check_range("returning", entry.returning, 0.0, 1.0)?;
        let faults = entry.faults.into_iter().map(Fault::try_from);
        let faults = faults.collect::<Result<Vec<_>, _>>()?;
        let slowdowns = entry.slowdowns.into_iter().map(Slowdown::try_from);
        let slowdowns = slowdowns.collect::<Result<Vec<_>, _>>()?;
        let site: Site = entry.site.try_into()?;
        if let Some(fault) = faults.iter().find(|fault| !fault.kind.is_valid_for(&site)) {
            return Err(PatternError::UnknownTarget(fault.kind.clone()));
        }
        Ok(Pattern {
            site,
            load: Load { factor, returning_share: returning, slowdowns, ..Load::specified() },
            length: Duration::from_secs_f64(seconds),
            faults,
        })
    }
}

impl TryFrom<SiteEntry> for Site {
    type Error = PatternError;

    fn try_from(entry: SiteEntry) -> Result<Self, PatternError> {
        let default = Site::virumaa();
        let millis = |field, entry: Option<f64>, default: Duration| match entry {
            Some(ms) => {
                check_range(field, ms, 0.0, 1_000.0).map(|ms| Duration::from_secs_f64(ms / 1_000.0))
            }
            None => Ok(default),
        };
        let speeds = entry.speeds.unwrap_or(default.speeds);
        check_range("number of speeds", speeds.len() as f64, 1.0, 1_000.0)?;
        for speed in &speeds {
            check_range("speed", *speed, 0.01, 100.0)?;
        }
        let cpu_shares = entry.cpu_shares.unwrap_or(default.cpu_shares);
        check_range("number of CPU shares", cpu_shares.len() as f64, 1.0, 1_000.0)?;
        for share in &cpu_shares {
            check_range("CPU share", *share, 0.01, 64.0)?;
        }
        let count = |field, entry: Option<usize>, default: usize| {
            let count = entry.unwrap_or(default);
            check_range(field, count as f64, 1.0, 1_000.0).map(|_| count)
        };
        Ok(Site {
            centres: count("centres", entry.centres, default.centres)?,
            hosts_each: count("hosts_each", entry.hosts_each, default.hosts_each)?,
            upstreams_each: count("upstreams_each", entry.upstreams_each, default.upstreams_each)?,
            cpu_shares,
            speeds,
            cpu: default.cpu,
            near: millis("near_ms", entry.near_ms, default.near)?,
            far: millis("far_ms", entry.far_ms, default.far)?,
        })
    }
}

fn check_range(field: &'static str, value: f64, min: f64, max: f64) -> Result<f64, PatternError> {
    if (min..=max).contains(&value) {
        Ok(value)
    } else {
        Err(PatternError::OutOfRange { field, value, min, max })
    }
}
