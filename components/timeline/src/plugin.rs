//! Settings of the time line.

use std::fmt;
use std::str::FromStr;

use kernel::{Fault, Key, Kind, Parts, Plugin, Section};

/// Which events are also written as JSON lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Lines {
    /// No events.
    None,
    /// Events of severity [`crate::Severity::Notable`]: decisions and failures.
    #[default]
    Notable,
    /// Every event.
    All,
}

impl fmt::Display for Lines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Lines::None => "none",
            Lines::Notable => "notable",
            Lines::All => "all",
        })
    }
}

/// The error for a text other than `none`, `notable` and `all`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinesError;

impl fmt::Display for LinesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected none, notable or all")
    }
}

impl std::error::Error for LinesError {}

impl FromStr for Lines {
    type Err = LinesError;

    fn from_str(s: &str) -> Result<Lines, LinesError> {
        match s {
            "none" => Ok(Lines::None),
            "notable" => Ok(Lines::Notable),
            "all" => Ok(Lines::All),
            _ => Err(LinesError),
        }
    }
}

/// The configuration of the time line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Number of events that the ring holds.
    pub capacity: usize,
    /// Which events are also written as JSON lines.
    pub lines: Lines,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            capacity: 16_384,
            lines: Lines::Notable,
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
