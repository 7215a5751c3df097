//! Generates a commented settings file with every key of every plug-in.

use std::fmt::{self, Write};

use kernel::{Key, Plugin, plugins};

/// Example values for keys without a default: section, key, value.
const EXAMPLES: &[(&str, &str, &str)] = &[
    ("vm", "id", "suva-a/vm-1"),
    ("vm", "domain", "suva-a"),
    ("vm", "callers", "10.1.0.11:7400"),
    ("vm", "peers", "10.1.0.11:7401"),
    ("vm", "platform", "10.1.0.2:7300"),
];

/// Comment at the top of the sample.
const HEADER: &str = "\
; Settings of one entry VM. Keys that are commented out show their defaults.
; Check a file with: pomelopost --settings FILE --check
; This file is written by: pomelopost --sample
";

/// Returns a commented sample of all settings.
pub fn sample() -> String {
    let mut out = HEADER.to_owned();
    for plugin in plugins() {
        // Writing to a string can't fail.
        let _ = write_section(&mut out, plugin);
    }
    out
}

fn write_section(out: &mut String, plugin: &Plugin) -> fmt::Result {
    writeln!(out, "\n[{}]", plugin.name)?;
    for key in plugin.keys {
        writeln!(out, "; {}", key.help)?;
        writeln!(out, "; Expected: {}.", key.kind)?;
        write_setting(out, plugin.name, key)?;
    }
    Ok(())
}

/// Writes one key, commented out if it has a default.
fn write_setting(out: &mut String, section: &str, key: &Key) -> fmt::Result {
    let name = key.name;
    match key.default {
        Some("") => writeln!(out, ";{name} ="),
        Some(default) => writeln!(out, ";{name} = {default}"),
        None => writeln!(out, "{name} = {}", example(section, name)),
    }
}

fn example(section: &str, key: &str) -> &'static str {
    let found = EXAMPLES.iter().find(|e| e.0 == section && e.1 == key);
    found.map_or("", |e| e.2)
}
