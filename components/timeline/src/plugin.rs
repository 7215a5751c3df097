//! Settings of the time line.

use std::fmt;
use std::str::FromStr;

use kernel::{Fault, Key, Kind, Parts, Plugin, Section};

/// Which events are also written as JSON lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LineFilter {
    /// No events.
    None,
    /// Events of severity [`crate::Severity::Notable`]: decisions and failures.
    #[default]
    Notable,
    /// Every event.
    All,
}

impl fmt::Display for LineFilter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LineFilter::None => "none",
            LineFilter::Notable => "notable",
            LineFilter::All => "all",
        })
    }
}

/// The error for a text other than `none`, `notable` and `all`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LineFilterError;

impl fmt::Display for LineFilterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected none, notable or all")
    }
}

impl std::error::Error for LineFilterError {}

impl FromStr for LineFilter {
    type Err = LineFilterError;

    fn from_str(s: &str) -> Result<LineFilter, LineFilterError> {
        match s {
            "none" => Ok(LineFilter::None),
            "notable" => Ok(LineFilter::Notable),
            "all" => Ok(LineFilter::All),
            _ => Err(LineFilterError),
        }
    }
}

/// The configuration of the time line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Number of events that the ring holds.
    pub capacity: usize,
    /// Which events are also written as JSON lines.
    pub lines: LineFilter,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            capacity: 16_384,
            lines: LineFilter::Notable,
        }
    }
}

const KEYS: &[Key] = &[
    Key {
        name: "capacity",
        kind: Kind::Count(0, 1_000_000),
        default: Some("16384"),
        help: "Number of events that the VM keeps in memory; 0 keeps none.",
    },
    Key {
        name: "lines",
        kind: Kind::Word(&["none", "notable", "all"]),
        default: Some("notable"),
        help: "Which events are also written as JSON lines to standard output.",
    },
];

fn install(section: &Section, parts: &mut Parts) -> Vec<Fault> {
    let default = Config::default();
    parts.put(Config {
        capacity: section.get("capacity").unwrap_or(default.capacity),
        lines: section.get("lines").unwrap_or(default.lines),
    });
    Vec::new()
}

inventory::submit! {
    Plugin { name: "timeline", keys: KEYS, install }
}
