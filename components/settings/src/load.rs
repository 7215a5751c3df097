//! Reads a settings file into the plug-ins' configurations.

use std::fs;
use std::path::Path;

use ini::{Ini, ParseOption};
use kernel::{Parts, Plugin, Section, plugins};

use crate::check::Check;
use crate::fault::{Problem, SettingsFault};
use crate::scan::Scan;

/// Reads a settings file and installs every plug-in.
///
/// # Errors
///
/// Tells all faults of the file, in the order of its lines.
pub fn load(path: &Path) -> Result<Parts, Vec<SettingsFault>> {
    let whole = |problem| vec![whole_file(path, problem)];
    let bytes = fs::read(path).map_err(|e| whole(Problem::Unreadable(e.kind())))?;
    let text = String::from_utf8(bytes).map_err(|_| whole(Problem::Encoding))?;
    parse(path, &text)
}

/// Reads settings from text; `path` is only told in faults.
///
/// # Errors
///
/// Tells all faults of the text, in the order of its lines.
pub fn parse(path: &Path, text: &str) -> Result<Parts, Vec<SettingsFault>> {
    let scan = Scan::new(text);
    let ini = match Ini::load_from_str_opt(&scan.clean, options()) {
        Ok(ini) => ini,
        Err(e) => {
            let mut fault = whole_file(path, Problem::Syntax);
            fault.line = Some(e.line);
            return Err(vec![fault]);
        }
    };
    let mut check = Check {
        file: path,
        scan,
        ini,
        faults: Vec::new(),
    };
    let plugins = plugins();
    check.lines();
    check.sections(&plugins);
    let sections = plugins.iter().map(|p| (*p, check.section(p))).collect();
    let parts = install(&mut check, sections);
    finish(check.faults, parts)
}

fn options() -> ParseOption {
    ParseOption {
        enabled_escape: false,
        ..ParseOption::default()
    }
}

/// Lets the plug-ins read their sections. Those with faults among their single
/// keys are left out, since what follows from these would only confuse.
fn install(check: &mut Check<'_>, sections: Vec<(&'static Plugin, Section)>) -> Parts {
    let mut parts = Parts::default();
    for (plugin, section) in sections {
        if check.faults.iter().any(|f| f.section == plugin.name) {
            continue;
        }
        for fault in (plugin.install)(&section, &mut parts) {
            let lines = check.scan.key_lines(&fault.section, &fault.key);
            let expected = fault.expected;
            let problem = Problem::Rule { expected };
            check.fault(lines.first().copied(), &fault.section, &fault.key, problem);
        }
    }
    parts
}

fn finish(mut faults: Vec<SettingsFault>, parts: Parts) -> Result<Parts, Vec<SettingsFault>> {
    if faults.is_empty() {
        return Ok(parts);
    }
    faults.sort_by_key(|f| f.line.unwrap_or(usize::MAX));
    Err(faults)
}

fn whole_file(path: &Path, problem: Problem) -> SettingsFault {
    SettingsFault {
        file: path.to_path_buf(),
        line: None,
        section: Default::default(),
        key: Default::default(),
        problem,
    }
}
