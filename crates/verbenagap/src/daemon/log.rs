//! The log: writes events to standard error, as text or as JSON lines.

use std::io::{self, Write};

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;
use serde_json::json;
use vg_conf::Settings;
use vg_conf::settings::LogFormat;

/// Starts the logger. Logging stops when the returned handle is dropped.
pub(super) fn start(settings: &Settings) -> Result<LoggerHandle, FlexiLoggerError> {
    // Libraries log warnings and errors only: their lines are not numbered events.
    let levels = format!("warn, events = {}", settings.log_level);
    let logger = Logger::try_with_str(levels)?.log_to_stderr();
    let logger = match settings.log_format {
        LogFormat::Text => logger.format(write_text),
        LogFormat::Json => logger.format(write_json),
    };
    logger.start()
}

fn write_text(out: &mut dyn Write, _: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    write!(out, "{:5} {}", record.level(), record.args())
}

fn write_json(out: &mut dyn Write, _: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let line = json!({
        "level": record.level().as_str().to_lowercase(),
        "target": record.target(),
        "event": record.args().to_string(),
    });
    write!(out, "{line}")
}
