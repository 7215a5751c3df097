//! The registry of plug-ins. Each feature submits a [`Plugin`] with
//! `inventory::submit!`; the program iterates over them to check and read settings.

use std::any::{Any, TypeId};
use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;

use crate::HashMap;

/// The kind of value that a setting takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Any text that is not empty.
    Text,
    /// `true` or `false`.
    Flag,
    /// A whole number between a minimum and a maximum, inclusive.
    Count(u64, u64),
    /// A length of time between a minimum and a maximum, inclusive, in
    /// milliseconds.
    Span(u64, u64),
    /// An IP number and port.
    Address,
    /// IP numbers and ports with commas between them, at least one.
    Addresses,
    /// One of these words.
    Word(&'static [&'static str]),
}

/// One key of a plug-in's settings section.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// The key's name.
    pub name: &'static str,
    /// The kind of value that the key takes.
    pub kind: Kind,
    /// The value that applies when the key is left out; `None` makes it required.
    pub default: Option<&'static str>,
    /// A help sentence for operators.
    pub help: &'static str,
}

/// An error in the settings, located by section and key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The settings section.
    pub section: CompactString,
    /// The key within the section; empty if the error concerns the whole section.
    pub key: CompactString,
    /// Description of the expected value.
    pub expected: CompactString,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "[{}] {}: expected {}",
            self.section, self.key, self.expected
        )
    }
}

/// A section's values as texts, checked against its keys, with defaults filled in.
#[derive(Debug, Clone, Default)]
pub struct Section {
    /// The section's values by key.
    values: HashMap<CompactString, CompactString>,
}

impl Section {
    /// Creates a section of checked values.
    pub fn new(values: HashMap<CompactString, CompactString>) -> Section {
        Section { values }
    }

    /// Returns a key's text, if it is set.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.values.get(key).map(CompactString::as_str)
    }

    /// Parses a key's text as a `T`. Returns `None` if it is not set or not valid.
    pub fn get<T: FromStr>(&self, key: &str) -> Option<T> {
        self.text(key)?.parse().ok()
    }
}

/// A feature that can be installed: its settings and how to read them.
#[derive(Debug, Clone, Copy)]
pub struct Plugin {
    /// The feature's name, which is also its settings section.
    pub name: &'static str,
    /// The section's keys.
    pub keys: &'static [Key],
    /// Reads the section, whose keys have each been checked already, and adds the
    /// feature's configuration to the parts. Returns the faults that only a
    /// combination of several keys shows.
    pub install: fn(&Section, &mut Parts) -> Vec<Fault>,
}

inventory::collect!(Plugin);

/// Returns all plug-ins linked into the program, sorted by name.
pub fn plugins() -> Vec<&'static Plugin> {
    let mut all: Vec<_> = inventory::iter::<Plugin>().collect();
    all.sort_by_key(|p| p.name);
    all
}

/// The configurations that the plug-ins have installed, by type.
#[derive(Default)]
pub struct Parts {
    /// The configurations, at most one of each type.
    values: HashMap<TypeId, Box<dyn Any + Send>>,
}

impl Parts {
    /// Adds a value, replacing an earlier one of the same type.
    pub fn put<T: Any + Send>(&mut self, value: T) {
        self.values.insert(TypeId::of::<T>(), Box::new(value));
    }

    /// Removes and returns the value of a type.
    pub fn take<T: Any>(&mut self) -> Option<T> {
        let value = self.values.remove(&TypeId::of::<T>())?;
        value.downcast().ok().map(|b| *b)
    }
}
