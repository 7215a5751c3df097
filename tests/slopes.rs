//! `pomeloctl slopes` prints the figures that docs/CAPACITY.md quotes.

use std::process::Command;

use serde_json::Value;

fn slopes(args: &[&str]) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_pomeloctl"))
        .arg("slopes")
        .args(args)
        .output()
        .unwrap()
}

#[test]
fn json_figures() {
    let output = slopes(&["minions", "--json"]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(text.lines().count(), 6);
    for line in text.lines() {
        let figure: Value = serde_json::from_str(line).unwrap();
        let name = figure["name"].as_str().unwrap();
        assert!(figure["points"].as_array().unwrap().len() >= 4, "{name}");
        assert!(figure["fit"]["slope"].is_number(), "{name}");
        assert!(figure["fit"]["residual"].is_number(), "{name}");
    }
    // Sizes in bytes are counted, so they are the same on every machine.
    assert!(text.contains(r#"{"size":830.0,"value":114149.0}"#));
}

#[test]
fn unknown_group() {
    assert_eq!(slopes(&["everything"]).status.code(), Some(2));
}
