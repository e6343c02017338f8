use spdlog::sink::{Sink, SinkProp, SinkPropAccess};
use spdlog::{Record, formatter::Formatter};
use std::sync::{Arc, Mutex, PoisonError};

/// Log sink that collects the lines of all hosts in memory.
#[derive(Default)]
pub struct LogSink {
    /// Holds the level filter and the error handler.
    prop: SinkProp,
    lines: Arc<Mutex<Vec<String>>>,
}

impl LogSink {
    /// Creates a sink that appends to `lines`.
    pub fn new(lines: &Arc<Mutex<Vec<String>>>) -> Self {
        LogSink { prop: SinkProp::default(), lines: lines.clone() }
    }
}

impl SinkPropAccess for LogSink {
    fn level_filter(&self) -> spdlog::LevelFilter {
        self.prop.level_filter()
    }

    fn set_level_filter(&self, filter: spdlog::LevelFilter) {
        self.prop.set_level_filter(filter);
    }

    fn set_formatter(&self, formatter: Box<dyn Formatter>) {
        // The payload is kept without formatting.
        drop(formatter);
    }

    fn set_error_handler(&self, handler: spdlog::ErrorHandler) {
        self.prop.set_error_handler(handler);
    }
}

impl Sink for LogSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(record.payload().to_owned());
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}
