//! What can be wrong with a settings file.

use std::fmt;
use std::io;
use std::path::PathBuf;

use compact_str::CompactString;
use kernel::Kind;

/// What is wrong, and what was expected instead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Problem {
    /// The file can't be read.
    Unreadable(io::ErrorKind),
    /// The file is not UTF-8 text.
    Encoding,
    /// The line is neither blank, a comment, a section nor a key with a value.
    Syntax,
    /// A key stands before the first section.
    NoSection,
    /// No feature has this section.
    UnknownSection {
        /// The sections that there are.
        known: Vec<&'static str>,
    },
    /// The section stands in the file twice.
    SectionTwice {
        /// The line where it stands first.
        first: usize,
    },
    /// The section has no such key.
    UnknownKey {
        /// The keys that there are.
        known: Vec<&'static str>,
    },
    /// The key is set twice.
    KeyTwice {
        /// The line where it is set first.
        first: usize,
    },
    /// The key must be set, and is not.
    Missing {
        /// What it must be set to.
        kind: Kind,
    },
    /// The key's value does not fit.
    Value {
        /// The value.
        found: CompactString,
        /// What it must be.
        kind: Kind,
    },
    /// The feature itself found a fault.
    Rule {
        /// What it expected.
        expected: CompactString,
    },
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::Unreadable(kind) => write!(f, "expected a readable file: {kind}"),
            Problem::Encoding => write!(f, "expected UTF-8 text"),
            Problem::Syntax => write!(f, "expected [section], key = value, or a ; comment"),
            Problem::NoSection => write!(f, "expected a [section] before the first key"),
            Problem::UnknownSection { known } => {
                write!(f, "unknown section, expected one of {}", known.join(", "))
            }
            Problem::SectionTwice { first } => {
                write!(f, "expected the section once, it is also on line {first}")
            }
            Problem::UnknownKey { known } => {
                write!(f, "unknown key, expected one of {}", known.join(", "))
            }
            Problem::KeyTwice { first } => {
                write!(f, "expected the key once, it is also on line {first}")
            }
            Problem::Missing { kind } => write!(f, "missing, expected {kind}"),
            Problem::Value { found, kind } => write!(f, "expected {kind}, found {found:?}"),
            Problem::Rule { expected } => write!(f, "expected {expected}"),
        }
    }
}

/// A fault of a settings file and where it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// The file.
    pub file: PathBuf,
    /// The line, from 1, when the fault is on one.
    pub line: Option<usize>,
    /// The section; empty when the fault is in none.
    pub section: CompactString,
    /// The key; empty when the fault is in none.
    pub key: CompactString,
    /// What is wrong.
    pub problem: Problem,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.section.is_empty() {
            write!(f, ": [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}", self.problem)
    }
}

impl std::error::Error for SettingsFault {}
