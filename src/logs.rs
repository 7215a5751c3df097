//! Logs as JSON lines on standard output.

use std::time::SystemTime;

use log::{LevelFilter, Record};
use serde::Serialize;

use crate::error::CommandError;

/// The log target of events of the time line, which are JSON already.
pub const EVENTS: &str = "timeline";

/// One line of the logs.
#[derive(Serialize)]
struct Line<'a> {
    /// When, in UTC.
    time: String,
    /// How severe.
    level: &'static str,
    /// The module that wrote it.
    target: &'a str,
    /// What was written.
    message: String,
}

/// Sets up the logs of the process.
///
/// # Errors
///
/// Fails when they are set up already.
pub fn start(level: LevelFilter) -> Result<(), CommandError> {
    fern::Dispatch::new()
        .level(level)
        // Settings choose these by themselves.
        .level_for(EVENTS, LevelFilter::Info)
        // The HTTP library's own debug lines would bury ours.
        .level_for("hyper", level.min(LevelFilter::Info))
        .level_for("hyper_util", level.min(LevelFilter::Info))
        .format(|out, message, record| match record.target() {
            EVENTS => out.finish(format_args!("{message}")),
            _ => out.finish(format_args!("{}", line(record))),
        })
        .chain(std::io::stdout())
        .apply()
        .map_err(CommandError::Logs)
}

fn line(record: &Record<'_>) -> String {
    let line = Line {
        time: humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
        level: record.level().as_str(),
        target: record.target(),
        message: record.args().to_string(),
    };
    serde_json::to_string(&line).unwrap_or_default()
}
