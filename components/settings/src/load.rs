//! Reads a settings file and builds the plug-ins' configurations.

use std::fs;
use std::path::Path;

use ini::{Ini, ParseOption};
use kernel::{Parts, Plugin, Section, plugins};

use crate::check::Checker;
use crate::fault::{Problem, SettingsFault};
use crate::scan::Scan;

/// Reads a settings file and installs every plug-in.
///
/// # Errors
///
/// Returns all faults of the file, in the order of its lines.
pub fn load(path: &Path) -> Result<Parts, Vec<SettingsFault>> {
    let fail = |problem| vec![file_fault(path, problem)];
    let bytes = fs::read(path).map_err(|e| fail(Problem::Unreadable(e.kind())))?;
    let text = String::from_utf8(bytes).map_err(|_| fail(Problem::Encoding))?;
    parse(path, &text)
}

/// Reads settings from text; `path` is only used in error messages.
///
/// # Errors
///
/// Returns all faults of the text, in the order of its lines.
pub fn parse(path: &Path, text: &str) -> Result<Parts, Vec<SettingsFault>> {
    let scan = Scan::new(text);
    let ini = match Ini::load_from_str_opt(&scan.valid_text, options()) {
        Ok(ini) => ini,
        Err(e) => {
            let mut fault = file_fault(path, Problem::Syntax);
            fault.line = Some(e.line);
            return Err(vec![fault]);
        }
    };
    let mut checker = Checker {
        file: path,
        scan,
        ini,
        faults: Vec::new(),
    };
    let plugins = plugins();
    checker.check_lines();
    checker.check_sections(&plugins);
    let sections = plugins
        .iter()
        .map(|p| (*p, checker.read_section(p)))
        .collect();
    let parts = install(&mut checker, sections);
    finish(checker.faults, parts)
}

fn options() -> ParseOption {
    ParseOption {
        enabled_escape: false,
        ..ParseOption::default()
    }
}

/// Installs the plug-ins. Those whose section already has a fault are skipped,
/// because errors that follow from that fault would only confuse.
fn install(checker: &mut Checker<'_>, sections: Vec<(&'static Plugin, Section)>) -> Parts {
    let mut parts = Parts::default();
    for (plugin, section) in sections {
        if checker.faults.iter().any(|f| f.section == plugin.name) {
            continue;
        }
        for fault in (plugin.install)(&section, &mut parts) {
            let lines = checker.scan.key_lines(&fault.section, &fault.key);
            let expected = fault.expected;
            let problem = Problem::Rule { expected };
            checker.add_fault(lines.first().copied(), &fault.section, &fault.key, problem);
        }
    }
    parts
}

/// Returns the configurations, or the faults sorted by line if there are any.
fn finish(mut faults: Vec<SettingsFault>, parts: Parts) -> Result<Parts, Vec<SettingsFault>> {
    if faults.is_empty() {
        return Ok(parts);
    }
    faults.sort_by_key(|f| f.line.unwrap_or(usize::MAX));
    Err(faults)
}

/// Returns a fault that concerns the file as a whole.
fn file_fault(path: &Path, problem: Problem) -> SettingsFault {
    SettingsFault {
        file: path.to_path_buf(),
        line: None,
        section: Default::default(),
        key: Default::default(),
        problem,
    }
}
