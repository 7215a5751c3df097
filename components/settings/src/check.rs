//! Checks one file's sections against the plug-ins' keys.

use std::path::Path;

use compact_str::CompactString;
use ini::{Ini, Properties};
use kernel::{HashMap, Key, Plugin, Section};

use crate::fault::{Problem, SettingsFault};
use crate::scan::{Held, Scan};

/// A file under check and the faults found so far.
pub(crate) struct Check<'a> {
    /// The file's name, for faults.
    pub file: &'a Path,
    /// The file's lines.
    pub scan: Scan,
    /// What the library read.
    pub ini: Ini,
    /// The faults found so far.
    pub faults: Vec<SettingsFault>,
}

impl Check<'_> {
    /// Adds a fault.
    pub fn fault(&mut self, line: Option<usize>, section: &str, key: &str, problem: Problem) {
        self.faults.push(SettingsFault {
            file: self.file.to_path_buf(),
            line,
            section: CompactString::new(section),
            key: CompactString::new(key),
            problem,
        });
    }

    /// Checks what single lines show without the plug-ins.
    pub fn lines(&mut self) {
        for line in self.scan.lines.clone() {
            let section = line.section.as_deref();
            let problem = match (section, line.held) {
                (_, Held::Broken) => Problem::Syntax,
                (None, _) => Problem::NoSection,
                _ => continue,
            };
            self.fault(Some(line.number), section.unwrap_or_default(), "", problem);
        }
    }

    /// Checks that each section of the file is a plug-in's, and stands once.
    pub fn sections(&mut self, plugins: &[&'static Plugin]) {
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
                self.fault(lines.first().copied(), &name, "", problem);
            }
            for twice in lines.iter().skip(1) {
                let problem = Problem::SectionTwice { first: lines[0] };
                self.fault(Some(*twice), &name, "", problem);
            }
        }
    }

    /// Checks a plug-in's section and fills in its defaults.
    pub fn section(&mut self, plugin: &'static Plugin) -> Section {
        let mut values = HashMap::default();
        self.unknown_keys(plugin);
        for key in plugin.keys {
            if let Some(text) = self.value(plugin.name, key) {
                values.insert(CompactString::const_new(key.name), text);
            }
        }
        Section::new(values)
    }

    fn unknown_keys(&mut self, plugin: &'static Plugin) {
        let known: Vec<_> = plugin.keys.iter().map(|k| k.name).collect();
        for line in self.scan.lines.clone() {
            let Held::Key(key) = line.held else { continue };
            let inside = line.section.as_deref() == Some(plugin.name);
            if inside && !known.contains(&key.as_str()) {
                let known = known.clone();
                let problem = Problem::UnknownKey { known };
                self.fault(Some(line.number), plugin.name, &key, problem);
            }
        }
    }

    /// Returns a key's checked text, or its default.
    fn value(&mut self, section: &str, key: &Key) -> Option<CompactString> {
        let texts = self.texts(section, key.name);
        let lines = self.scan.key_lines(section, key.name);
        for twice in lines.iter().skip(1) {
            let problem = Problem::KeyTwice { first: lines[0] };
            self.fault(Some(*twice), section, key.name, problem);
        }
        let Some(text) = texts.into_iter().next() else {
            return self.default(section, key);
        };
        let fits = key.kind.accepts(&text) || key.default == Some(text.as_str());
        if !fits {
            let kind = key.kind;
            let found = text.clone();
            let line = lines.first().copied();
            self.fault(line, section, key.name, Problem::Value { found, kind });
        }
        fits.then_some(text)
    }

    fn default(&mut self, section: &str, key: &Key) -> Option<CompactString> {
        if key.default.is_none() {
            let line = self.scan.section_lines(section).first().copied();
            let problem = Problem::Missing { kind: key.kind };
            self.fault(line, section, key.name, problem);
        }
        key.default.map(CompactString::const_new)
    }

    fn texts(&self, section: &str, key: &str) -> Vec<CompactString> {
        let all = self.ini.section_all(Some(section));
        let of = |props: &Properties| props.get_all(key).map(CompactString::new).collect();
        all.flat_map(|props| -> Vec<CompactString> { of(props) })
            .collect()
    }
}
