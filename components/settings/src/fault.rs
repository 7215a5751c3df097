//! Errors in settings files.

use std::fmt;
use std::io;
use std::path::PathBuf;

use compact_str::CompactString;
use kernel::Kind;

/// A kind of error in the settings, with details of what was expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Problem {
    /// The file can't be read.
    Unreadable(io::ErrorKind),
    /// The file is not UTF-8 text.
    Encoding,
    /// The line is not blank, a comment, a section or a key with a value.
    Syntax,
    /// A key comes before the first section.
    NoSection,
    /// No plug-in has this section.
    UnknownSection {
        /// The names of all sections.
        known: Vec<&'static str>,
    },
    /// The section occurs more than once.
    DuplicateSection {
        /// Number of the line with the first occurrence.
        first: usize,
    },
    /// The section has no such key.
    UnknownKey {
        /// The names of all keys of the section.
        known: Vec<&'static str>,
    },
    /// The key is set more than once.
    DuplicateKey {
        /// Number of the line with the first occurrence.
        first: usize,
    },
    /// A required key is not set.
    Missing {
        /// The kind of value that the key takes.
        kind: Kind,
    },
    /// The value of the key is not valid.
    Value {
        /// The value in the file.
        found: CompactString,
        /// The kind of value that the key takes.
        kind: Kind,
    },
    /// The value violates a rule that the plug-in checks.
    Rule {
        /// Description of what the plug-in expects.
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
            Problem::DuplicateSection { first } => {
                write!(f, "duplicate section, first on line {first}")
            }
            Problem::UnknownKey { known } => {
                write!(f, "unknown key, expected one of {}", known.join(", "))
            }
            Problem::DuplicateKey { first } => {
                write!(f, "duplicate key, first on line {first}")
            }
            Problem::Missing { kind } => write!(f, "missing, expected {kind}"),
            Problem::Value { found, kind } => write!(f, "expected {kind}, found {found:?}"),
            Problem::Rule { expected } => write!(f, "expected {expected}"),
        }
    }
}

/// An error in a settings file and its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// Path of the file.
    pub file: PathBuf,
    /// Number of the line, from 1; `None` if no line is to blame.
    pub line: Option<usize>,
    /// Name of the section; empty if the fault is outside of sections.
    pub section: CompactString,
    /// Name of the key; empty if the fault concerns no key.
    pub key: CompactString,
    /// Kind of the error, with its details.
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
