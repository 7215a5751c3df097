//! The registry of plug-ins. Each feature submits a [`Plugin`] with
//! `inventory::submit!`; the program walks them to check and read settings.

use std::any::{Any, TypeId};
use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;

use crate::HashMap;

/// What a setting's text must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Any text that is not empty.
    Text,
    /// `true` or `false`.
    Flag,
    /// A whole number between the two, inclusive.
    Count(u64, u64),
    /// A length of time between the two, inclusive, in milliseconds.
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
    /// What its text must be.
    pub kind: Kind,
    /// The text that holds when the key is left out; `None` makes it required.
    pub default: Option<&'static str>,
    /// One sentence for operators.
    pub help: &'static str,
}

/// A fault in the settings, told by section and key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The settings section.
    pub section: CompactString,
    /// The key within the section; empty when the section itself is at fault.
    pub key: CompactString,
    /// What was expected.
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

/// A section's texts, checked against its keys, with defaults filled in.
#[derive(Debug, Clone, Default)]
pub struct Section {
    /// Text by key.
    values: HashMap<CompactString, CompactString>,
}

impl Section {
    /// Makes a section of checked texts.
    pub fn new(values: HashMap<CompactString, CompactString>) -> Section {
        Section { values }
    }

    /// Returns a key's text, if it is set.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.values.get(key).map(CompactString::as_str)
    }

    /// Reads a key's text as a `T`, if it is set and fits.
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
    /// Reads the section, whose single keys are checked already, and puts the
    /// feature's configuration into the parts. It answers faults that only
    /// several keys together show.
    pub install: fn(&Section, &mut Parts) -> Vec<Fault>,
}

inventory::collect!(Plugin);

/// Returns all plug-ins linked into the program, by name.
pub fn plugins() -> Vec<&'static Plugin> {
    let mut all: Vec<_> = inventory::iter::<Plugin>().collect();
    all.sort_by_key(|p| p.name);
    all
}

/// The configurations that the plug-ins have installed, by type.
#[derive(Default)]
pub struct Parts {
    /// One value a type.
    values: HashMap<TypeId, Box<dyn Any + Send>>,
}

impl Parts {
    /// Puts in a value, in place of an earlier one of its type.
    pub fn put<T: Any + Send>(&mut self, value: T) {
        self.values.insert(TypeId::of::<T>(), Box::new(value));
    }

    /// Takes the value of a type out.
    pub fn take<T: Any>(&mut self) -> Option<T> {
        let value = self.values.remove(&TypeId::of::<T>())?;
        value.downcast().ok().map(|b| *b)
    }
}
