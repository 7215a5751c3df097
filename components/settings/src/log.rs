//! Settings of the log output.

use kernel::{Fault, Key, Kind, Parts, Plugin, Section};
use log::LevelFilter;

/// The configuration of the log output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogConfig {
    /// The least severe level that is logged.
    pub level: LevelFilter,
}

const KEYS: &[Key] = &[Key {
    name: "level",
    kind: Kind::Word(&["off", "error", "warn", "info", "debug", "trace"]),
    default: Some("info"),
    help: "Least severe level that is logged as JSON lines to standard output.",
}];

fn install(section: &Section, parts: &mut Parts) -> Vec<Fault> {
    parts.put(LogConfig {
        level: section.get("level").unwrap_or(LevelFilter::Info),
    });
    Vec::new()
}

inventory::submit! {
    Plugin { name: "log", keys: KEYS, install }
}
