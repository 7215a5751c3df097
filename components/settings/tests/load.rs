//! Tests reading settings, and that all faults of a file are reported at once.

use std::path::Path;

use log::LevelFilter;
use proptest::prelude::*;
use settings::{LogConfig, Problem, SettingsFault, VmConfig, load, parse};
use timeline::{Config, LineFilter};

const GOOD: &str = "\
; comment
[vm]
id = suva-a/vm-1
domain = suva-a
callers = 10.0.0.7:7400
peers = 10.0.0.7:7401
platform = 10.0.9.1:80
seeds = 10.0.0.8:7401, 10.0.1.7:7401
threads = 3
[timeline]
lines = all
";

fn faults(text: &str) -> Vec<SettingsFault> {
    parse(Path::new("vm.ini"), text).err().unwrap_or_default()
}

fn messages(text: &str) -> Vec<String> {
    faults(text).iter().map(ToString::to_string).collect()
}

#[test]
fn good_file() {
    let mut parts = parse(Path::new("vm.ini"), GOOD).unwrap();
    let vm: VmConfig = parts.take().unwrap();
    assert_eq!(vm.id.as_str(), "suva-a/vm-1");
    assert_eq!(vm.seeds.len(), 2);
    assert_eq!(vm.threads, 3);
    let timeline: Config = parts.take().unwrap();
    assert_eq!(
        (timeline.capacity, timeline.lines),
        (16_384, LineFilter::All)
    );
    let log: LogConfig = parts.take().unwrap();
    assert_eq!(log.level, LevelFilter::Info);
}

#[test]
fn all_faults() {
    let text = "\
colour = red
[vm]
id = suva-a/vm-1
id = suva-a/vm-2
domain = suva-a
callers = suva:7400
peers = 10.0.0.7:7401
threads = many
seeds = 10.0.0.8
shape = round
nonsense
[vmm]
id = 1
[log]
level = loud
[vm
";
    let expected = [
        "vm.ini:1: expected a [section] before the first key",
        "vm.ini:2: [vm] platform: missing, expected an IP number and port, such as 10.0.0.7:7400",
        "vm.ini:4: [vm] id: duplicate key, first on line 3",
        "vm.ini:6: [vm] callers: expected an IP number and port, such as 10.0.0.7:7400, found \"suva:7400\"",
        "vm.ini:8: [vm] threads: expected a whole number from 1 to 64, found \"many\"",
        "vm.ini:9: [vm] seeds: expected IP numbers and ports with commas between them, such as 10.0.0.7:7400, 10.0.1.7:7400, found \"10.0.0.8\"",
        "vm.ini:10: [vm] shape: unknown key, expected one of id, domain, callers, peers, platform, seeds, threads",
        "vm.ini:11: [vm]: expected [section], key = value, or a ; comment",
        "vm.ini:12: [vmm]: unknown section, expected one of log, timeline, vm",
        "vm.ini:15: [log] level: expected one of off, error, warn, info, debug, trace, found \"loud\"",
        "vm.ini:16: [log]: expected [section], key = value, or a ; comment",
    ];
    assert_eq!(messages(text), expected);
}

#[test]
fn plugin_rules() {
    let text = GOOD
        .replace("id = suva-a/vm-1", "id = nadi-b/vm-1")
        .replace("peers = 10.0.0.7:7401", "peers = 0.0.0.0:7401");
    let expected = [
        "vm.ini:3: [vm] id: expected suva-a/ followed by the VM's name",
        "vm.ini:6: [vm] peers: expected the IP address at which peers reach the VM",
    ];
    assert_eq!(messages(&text), expected);
}

#[test]
fn empty_file() {
    let missing = faults("");
    assert_eq!(missing.len(), 5);
    assert!(missing.iter().all(|f| f.line.is_none()));
    assert!(
        missing
            .iter()
            .all(|f| matches!(f.problem, Problem::Missing { .. }))
    );
}

#[test]
fn duplicate_section() {
    let text = format!("{GOOD}[log]\n[log]\n");
    let expected = ["vm.ini:13: [log]: duplicate section, first on line 12"];
    assert_eq!(messages(&text), expected);
}

#[test]
fn invalid_seeds() {
    let text = GOOD.replace("10.0.0.8:7401,", "10.0.0.8:7401,,");
    assert_eq!(faults(&text).len(), 1);
}

#[test]
fn unclosed_quote() {
    let text = GOOD.replace("domain = suva-a", "domain = \"suva-a");
    let lines: Vec<_> = faults(&text).iter().map(|f| f.line).collect();
    assert_eq!(lines, [Some(2), Some(4)]);
}

#[test]
fn missing_file() {
    let faults = load(Path::new("no/such.ini")).err().unwrap();
    let expected = "no/such.ini: expected a readable file: entity not found";
    assert_eq!(faults[0].to_string(), expected);
}

proptest! {
    #[test]
    fn any_text(text in "[\\[\\]=:;#\"'\\\\a-c \n\t\r]{0,80}") {
        // None of these texts holds all required keys.
        prop_assert!(!faults(&text).is_empty());
    }

    #[test]
    fn any_lines(lines in prop::collection::vec("\\PC{0,20}", 0..8)) {
        prop_assert!(!faults(&lines.join("\n")).is_empty());
    }
}
