//! Logs as JSON lines on standard output.

use std::time::SystemTime;

use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde::ser::SerializeMap;
use serde::{Serialize, Serializer};

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
    /// What it was decided by, by name.
    #[serde(flatten)]
    fields: Fields<'a>,
}

/// The named values of a line.
struct Fields<'a>(&'a Record<'a>);

impl Serialize for Fields<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut writer = FieldWriter(serializer.serialize_map(None)?);
        // The writer keeps its own error; a value it can't write is left out.
        let _ = self.0.key_values().visit(&mut writer);
        writer.0.end()
    }
}

/// Writes named values into a map.
struct FieldWriter<M>(M);

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for FieldWriter<M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let written = match (value.to_u64(), value.to_f64()) {
            (Some(number), _) => self.0.serialize_entry(key.as_str(), &number),
            (None, Some(number)) => self.0.serialize_entry(key.as_str(), &number),
            (None, None) => self.0.serialize_entry(key.as_str(), &value.to_string()),
        };
        written.map_err(|_| log::kv::Error::msg("a field can't be written"))
    }
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
        fields: Fields(record),
    };
    serde_json::to_string(&line).unwrap_or_default()
}
