//! The command lines: settings, exit codes, completions and the man page.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/pomelopost.ini");

fn pomelopost(args: &[&str]) -> Output {
    run(env!("CARGO_BIN_EXE_pomelopost"), args)
}

fn pomeloctl(args: &[&str]) -> Output {
    run(env!("CARGO_BIN_EXE_pomeloctl"), args)
}

fn run(program: &str, args: &[&str]) -> Output {
    Command::new(program)
        .args(args)
        .env_remove("POMELOPOST_VMS")
        .env_remove("POMELOPOST_PLATFORM")
        .output()
        .unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Writes a settings file of its own for a test.
fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

#[test]
fn sample_loads() {
    let output = pomelopost(&["--settings", SAMPLE, "--check"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}

#[test]
fn sample_current() {
    let output = pomelopost(&["--sample"]);
    let committed = fs::read_to_string(SAMPLE).unwrap();
    let hint = "write it anew: cargo run --bin pomelopost -- --sample > docs/pomelopost.ini";
    assert_eq!(stdout(&output), committed, "{hint}");
}

#[test]
fn defaults_load() {
    // What the comments of the sample show is accepted when set.
    let sample = fs::read_to_string(SAMPLE).unwrap();
    let set = |line: &str| match line.strip_prefix(';') {
        Some(rest) if !rest.starts_with(' ') => rest.to_owned(),
        _ => line.to_owned(),
    };
    let all: Vec<_> = sample.lines().map(set).collect();
    let path = settings_file("all.ini", &all.join("\n"));
    let output = pomelopost(&["--settings", path.to_str().unwrap(), "--check"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}

#[test]
fn faults_told() {
    let path = settings_file("bad.ini", "[vm]\nid = x\nthreads = 0\n[wm]\n");
    let output = pomelopost(&["--settings", path.to_str().unwrap(), "--check"]);
    assert_eq!(output.status.code(), Some(2));
    let told = stderr(&output);
    let named = [
        "[vm] domain:",
        "[vm] platform:",
        ":3: [vm] threads:",
        ":4: [wm]:",
    ];
    for part in named {
        assert!(told.contains(part), "no {part} in:\n{told}");
    }
}

#[test]
fn no_settings() {
    assert_eq!(pomelopost(&[]).status.code(), Some(2));
    let output = pomelopost(&["--settings", "no/such.ini"]);
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn no_fleet() {
    let output = pomeloctl(&["status"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("--vm or --platform"));
}

#[test]
fn unknown_option() {
    assert_eq!(pomeloctl(&["status", "--colour"]).status.code(), Some(2));
    assert_eq!(
        pomeloctl(&["load", "--mix", "quote:0:1s"]).status.code(),
        Some(2)
    );
}

#[test]
fn completions() {
    for shell in ["bash", "zsh", "fish"] {
        let output = pomeloctl(&["completions", shell]);
        assert!(stdout(&output).contains("timeline"), "{shell}");
    }
}

#[test]
fn man_page() {
    let page = stdout(&pomeloctl(&["man"]));
    assert!(page.contains(".TH pomeloctl"));
    assert!(page.contains("Exit codes"));
    assert!(page.contains("timeline"));
}

#[test]
fn demo() {
    let output = pomeloctl(&["demo"]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let told = stdout(&output);
    assert_eq!(told.matches(": complete after").count(), 4, "{told}");
    assert!(
        told.lines()
            .last()
            .unwrap()
            .contains(r#""double_starts":0"#),
        "{told}"
    );
}

#[test]
fn bad_trace() {
    let path = settings_file("bad.jsonl", "# fine\n{\"at_ms\":1,\"dance\":{}}\n");
    let output = pomeloctl(&["replay", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("line 2"), "{}", stderr(&output));
}

#[test]
fn bad_sheet() {
    let text = "what,name,where,amount\nservice,quote,a,-1\nteam,t1,*,many\n";
    let path = settings_file("bad.csv", text);
    let output = pomeloctl(&["sheet", "check", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        stderr(&output).trim().lines().count(),
        2,
        "{}",
        stderr(&output)
    );
    let publish = [
        "--platform",
        "127.0.0.1:1",
        "sheet",
        "publish",
        path.to_str().unwrap(),
    ];
    assert_eq!(pomeloctl(&publish).status.code(), Some(2));
}

#[test]
fn sheet_shown() {
    let text = "what,name,where,amount\nteam,t1,*,8\nservice,quote,a,24\n";
    let path = settings_file("good.csv", text);
    let shown = stdout(&pomeloctl(&["sheet", "show", path.to_str().unwrap()]));
    assert!(shown.contains("service,quote,a,24"), "{shown}");
}
