//! Load patterns: JSON files that describe the site, load and faults of a run.

mod trouble;

use crate::fault::{Fault, Trouble};
use crate::load::Load;
use crate::plan::{Plan, Site};
use heathertrack::pool::Options;
use serde::Deserialize;
use std::time::Duration;
use thiserror::Error;

/// Longest run, in seconds. All jobs of a run are kept in memory.
const LONGEST_S: f64 = 600.0;
/// Largest load, relative to that of the users' sheet.
const LARGEST_LOAD: f64 = 100.0;

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
    Unreadable(#[from] serde_json::Error),
    /// A fault refers to a host, upstream or data centre that does not exist.
    #[error("fault refers to a host, upstream or data centre that the site does not have: {0:?}")]
    Unknown(Trouble),
    /// A value is out of range.
    #[error("{field} is {value}, but must be between {least} and {most}")]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// The rejected value.
        value: f64,
        /// Smallest valid value.
        least: f64,
        /// Largest valid value.
        most: f64,
    },
}

impl Pattern {
    /// Parses the text of a load pattern file.
    pub fn parse(text: &str) -> Result<Self, PatternError> {
        serde_json::from_str::<Wire>(text)?.try_into()
    }

    /// Returns the plan of a run with this pattern and seed.
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
struct Wire {
    /// Differences from Virumaa's site.
    #[serde(default)]
    site: SiteWire,
    /// Time during which callers arrive, in seconds.
    seconds: f64,
    /// Load relative to that of the users' sheet.
    load: f64,
    /// Share of the callers that submit a refused job once more, after the given retry time.
    #[serde(default)]
    returning: f64,
    /// Faults to inject.
    #[serde(default)]
    faults: Vec<trouble::Wire>,
}

/// The file format of a site. Missing fields default to Virumaa's.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct SiteWire {
    centres: Option<usize>,
    hosts_each: Option<usize>,
    cpu_share: Option<f64>,
    upstreams_each: Option<usize>,
    speeds: Option<Vec<f64>>,
    near_ms: Option<f64>,
    far_ms: Option<f64>,
}

impl TryFrom<Wire> for Pattern {
    type Error = PatternError;

    fn try_from(wire: Wire) -> Result<Self, PatternError> {
        let seconds = within("seconds", wire.seconds, 0.1, LONGEST_S)?;
        let factor = within("load", wire.load, 0.01, LARGEST_LOAD)?;
        let returning = within("returning", wire.returning, 0.0, 1.0)?;
        let faults = wire.faults.into_iter().map(Fault::try_from);
        let faults = faults.collect::<Result<Vec<_>, _>>()?;
        let site: Site = wire.site.try_into()?;
        if let Some(fault) = faults.iter().find(|fault| !fault.trouble.fits(&site)) {
            return Err(PatternError::Unknown(fault.trouble.clone()));
        }
        Ok(Pattern {
            site,
            load: Load { factor, returning, ..Load::sheet() },
            length: Duration::from_secs_f64(seconds),
            faults,
        })
    }
}

impl TryFrom<SiteWire> for Site {
    type Error = PatternError;

    fn try_from(wire: SiteWire) -> Result<Self, PatternError> {
        let usual = Site::virumaa();
        let millis = |field, wire: Option<f64>, usual: Duration| match wire {
            Some(ms) => {
                within(field, ms, 0.0, 1_000.0).map(|ms| Duration::from_secs_f64(ms / 1_000.0))
            }
            None => Ok(usual),
        };
        let speeds = wire.speeds.unwrap_or(usual.speeds);
        within("number of speeds", speeds.len() as f64, 1.0, 1_000.0)?;
        for speed in &speeds {
            within("speed", *speed, 0.01, 100.0)?;
        }
        let count = |field, wire: Option<usize>, usual: usize| {
            let count = wire.unwrap_or(usual);
            within(field, count as f64, 1.0, 1_000.0).map(|_| count)
        };
        Ok(Site {
            centres: count("centres", wire.centres, usual.centres)?,
            hosts_each: count("hosts_each", wire.hosts_each, usual.hosts_each)?,
            upstreams_each: count("upstreams_each", wire.upstreams_each, usual.upstreams_each)?,
            cpu_share: within("cpu_share", wire.cpu_share.unwrap_or(usual.cpu_share), 0.01, 64.0)?,
            speeds,
            cpu: usual.cpu,
            near: millis("near_ms", wire.near_ms, usual.near)?,
            far: millis("far_ms", wire.far_ms, usual.far)?,
        })
    }
}

fn within(field: &'static str, value: f64, least: f64, most: f64) -> Result<f64, PatternError> {
    if (least..=most).contains(&value) {
        Ok(value)
    } else {
        Err(PatternError::OutOfRange { field, value, least, most })
    }
}
