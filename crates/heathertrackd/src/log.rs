//! The log: one JSON line per event on standard error, rate-limited for each kind of event.

mod event;
mod limiter;

pub use event::{Event, JobEvent};
pub(crate) use limiter::Limiter;

use heathertrack::name::{DataCentre, Host};
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};
use std::sync::Arc;
use thiserror::Error;

/// Maximum number of events of one kind written per second.
const MAX_PER_SECOND: u32 = 20;

/// Writes events, each with the host and its data centre.
#[derive(Clone, Debug)]
pub struct Log {
    logger: Arc<Logger>,
    limiter: Arc<Limiter>,
    host: Host,
    data_centre: DataCentre,
}

/// Error that occurs if the log cannot be opened.
#[derive(Debug, Error)]
#[error("the log cannot be opened: {0}")]
pub struct LogError(#[from] spdlog::Error);

impl Log {
    /// Opens the log on standard error.
    pub fn open(host: &Host, data_centre: &DataCentre) -> Result<Self, LogError> {
        let sink = StdStreamSink::builder()
            .formatter(JsonFormatter::new())
            .std_stream(StdStream::Stderr)
            .build()?;
        let logger = Logger::builder()
            .name("heathertrackd")
            .sink(Arc::new(sink))
            .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
            .flush_level_filter(LevelFilter::All)
            .build()?;
        Ok(Log {
            logger: Arc::new(logger),
            limiter: Arc::new(Limiter::new(MAX_PER_SECOND)),
            host: host.clone(),
            data_centre: data_centre.clone(),
        })
    }

    /// Writes an event unless the limit of its kind is reached for this second.
    pub fn write(&self, event: &Event) {
        // Number of suppressed events; this name and those below are the keys in the log.
        let Some(left_out) = self.limiter.allow(event.name()) else {
            return;
        };
        let host = self.host.as_str();
        let data_centre = self.data_centre.as_str();
        let key = event.key();
        let customer = event.customer();
        let detail = event.detail();
        spdlog::log!(
            logger: self.logger,
            event.level(),
            "{}",
            event.name(),
            kv: { host, data_centre, key, customer, detail, left_out }
        );
    }
}
