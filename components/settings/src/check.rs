//! Checks a settings file against the sections and keys of the plug-ins.

use std::path::Path;

use compact_str::CompactString;
use ini::{Ini, Properties};
use kernel::{HashMap, Key, Plugin, Section};

use crate::fault::{Problem, SettingsFault};
use crate::scan::{Item, Scan};

/// Checks one settings file and collects its faults.
pub(crate) struct Checker<'a> {
    /// Path of the file, for error messages.
    pub file: &'a Path,
    /// The lines of the file, with their numbers.
    pub scan: Scan,
    /// The sections and values that the INI library parsed.
    pub ini: Ini,
    /// The faults found so far.
    pub faults: Vec<SettingsFault>,
}

impl Checker<'_> {
    /// Adds a fault.
    pub fn add_fault(&mut self, line: Option<usize>, section: &str, key: &str, problem: Problem) {
        self.faults.push(SettingsFault {
            file: self.file.to_path_buf(),
            line,
            section: CompactString::new(section),
            key: CompactString::new(key),
            problem,
        });
    }

    /// Checks the syntax of each line, and that no key precedes the first section.
    pub fn check_lines(&mut self) {
        for line in self.scan.lines.clone() {
            let section = line.section.as_deref();
            let problem = match (section, line.item) {
                (_, Item::Invalid) => Problem::Syntax,
                (None, _) => Problem::NoSection,
                _ => continue,
            };
            self.add_fault(Some(line.number), section.unwrap_or_default(), "", problem);
        }
    }

    /// Checks that each section belongs to a plug-in and occurs only once.
    pub fn check_sections(&mut self, plugins: &[&'static Plugin]) {
        let known: Vec<_> = plugins.iter().map(|p| p.name).collect();
        let mut names: Vec<CompactString> = Vec::new();
        for line in &self.scan.lines {
            match &line.section {
                Some(name) if !names.contains(name) => names.push(name.clone()),
                _ => {}
            }
        }
        for name in names {
            let lines = self.scan.section_lines(&name);
            if !known.contains(&name.as_str()) {
                let known = known.clone();
                let problem = Problem::UnknownSection { known };
                self.add_fault(lines.first().copied(), &name, "", problem);
            }
            for repeated in lines.iter().skip(1) {
                let problem = Problem::DuplicateSection { first: lines[0] };
                self.add_fault(Some(*repeated), &name, "", problem);
            }
        }
    }

    /// Checks the section of a plug-in and returns its values, with defaults for
    /// keys that are not set.
    pub fn read_section(&mut self, plugin: &'static Plugin) -> Section {
        let mut values = HashMap::default();
        self.check_key_names(plugin);
        for key in plugin.keys {
            if let Some(text) = self.value(plugin.name, key) {
                values.insert(CompactString::const_new(key.name), text);
            }
        }
        Section::new(values)
    }

    /// Adds a fault for each key that the plug-in does not have.
    fn check_key_names(&mut self, plugin: &'static Plugin) {
        let known: Vec<_> = plugin.keys.iter().map(|k| k.name).collect();
        for line in self.scan.lines.clone() {
            let Item::Key(key) = line.item else { continue };
            let inside = line.section.as_deref() == Some(plugin.name);
            if inside && !known.contains(&key.as_str()) {
                let known = known.clone();
                let problem = Problem::UnknownKey { known };
                self.add_fault(Some(line.number), plugin.name, &key, problem);
            }
        }
    }

    /// Returns the text of a key if it is valid, or the default if the key is not
    /// set.
    fn value(&mut self, section: &str, key: &Key) -> Option<CompactString> {
        let texts = self.key_texts(section, key.name);
        let lines = self.scan.key_lines(section, key.name);
        for repeated in lines.iter().skip(1) {
            let problem = Problem::DuplicateKey { first: lines[0] };
            self.add_fault(Some(*repeated), section, key.name, problem);
        }
        let Some(text) = texts.into_iter().next() else {
            return self.default(section, key);
        };
        let valid = key.kind.accepts(&text) || key.default == Some(text.as_str());
        if !valid {
            let kind = key.kind;
            let found = text.clone();
            let line = lines.first().copied();
            self.add_fault(line, section, key.name, Problem::Value { found, kind });
        }
        valid.then_some(text)
    }

    /// Returns the default of a key. Adds a fault if the key has none.
    fn default(&mut self, section: &str, key: &Key) -> Option<CompactString> {
        if key.default.is_none() {
            let line = self.scan.section_lines(section).first().copied();
            let problem = Problem::Missing { kind: key.kind };
            self.add_fault(line, section, key.name, problem);
        }
        key.default.map(CompactString::const_new)
    }

    /// Returns the text of each occurrence of a key in the file.
    fn key_texts(&self, section: &str, key: &str) -> Vec<CompactString> {
        let sections = self.ini.section_all(Some(section));
        let texts = |props: &Properties| props.get_all(key).map(CompactString::new).collect();
        sections
            .flat_map(|props| -> Vec<CompactString> { texts(props) })
            .collect()
    }
}
