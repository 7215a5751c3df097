//! docs/LOGS.md lists every log line of the crates that serve on the platform.

use std::fs;
use std::path::Path;

const PAGE: &str = include_str!("../docs/LOGS.md");

/// Source folders of the crates whose log lines the page lists.
const SOURCES: [&str; 2] = ["components/engine/src", "platform/src"];

/// Returns the messages of all log calls in a source file.
fn messages(source: &str) -> Vec<String> {
    let calls = source.split("log::").skip(1);
    let calls = calls.filter(|c| {
        let levels = ["error!(", "warn!(", "info!(", "debug!("];
        levels.iter().any(|l| c.starts_with(l))
    });
    let message = |call: &str| {
        let call = call.split(");\n").next().unwrap_or(call);
        let quoted: Vec<_> = call.split('"').collect();
        // The message is the last string literal of the call.
        quoted.len().checked_sub(2).map(|i| quoted[i].to_owned())
    };
    calls.filter_map(message).collect()
}

fn all_messages() -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    for dir in SOURCES {
        for entry in fs::read_dir(root.join(dir)).unwrap() {
            let text = fs::read_to_string(entry.unwrap().path()).unwrap();
            found.extend(messages(&text));
        }
    }
    found
}

#[test]
fn all_listed() {
    let found = all_messages();
    assert!(found.len() > 30, "{found:?}");
    let missing = found.iter().filter(|m| !PAGE.contains(&format!("| {m} |")));
    let missing: Vec<_> = missing.collect();
    assert!(missing.is_empty(), "not in docs/LOGS.md: {missing:#?}");
}

#[test]
fn none_stale() {
    let found = all_messages();
    let rows = PAGE
        .lines()
        .filter(|l| l.starts_with("| ") && !l.starts_with("| line "));
    let listed = rows.filter_map(|l| l.split('|').nth(1)).map(str::trim);
    let stale: Vec<_> = listed.filter(|m| !found.iter().any(|f| f == m)).collect();
    assert!(stale.is_empty(), "not in the code: {stale:#?}");
}
