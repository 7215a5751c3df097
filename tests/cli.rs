//! Command lines of both programs: settings, exit codes, completions and man
//! pages.

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

/// Writes a file for one test and returns its path.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

#[test]
fn sample_valid() {
    let output = pomelopost(&["--settings", SAMPLE, "--check"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}

#[test]
fn sample_matches_page() {
    let output = pomelopost(&["--sample"]);
    let committed = fs::read_to_string(SAMPLE).unwrap();
    let hint = "regenerate it: cargo run --bin pomelopost -- --sample > docs/pomelopost.ini";
    assert_eq!(stdout(&output), committed, "{hint}");
}

#[test]
fn defaults_valid() {
    // The defaults that the sample shows in comments are valid settings.
    let sample = fs::read_to_string(SAMPLE).unwrap();
    let set = |line: &str| match line.strip_prefix(';') {
        Some(rest) if !rest.starts_with(' ') => rest.to_owned(),
        _ => line.to_owned(),
    };
    let lines: Vec<_> = sample.lines().map(set).collect();
    let path = write_file("all.ini", &lines.join("\n"));
    let output = pomelopost(&["--settings", path.to_str().unwrap(), "--check"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}

#[test]
fn faults_reported() {
    let path = write_file("bad.ini", "[vm]\nid = x\nthreads = 0\n[wm]\n");
    let output = pomelopost(&["--settings", path.to_str().unwrap(), "--check"]);
    assert_eq!(output.status.code(), Some(2));
    let errors = stderr(&output);
    let expected = [
        "[vm] domain:",
        "[vm] platform:",
        ":3: [vm] threads:",
        ":4: [wm]:",
    ];
    for part in expected {
        assert!(errors.contains(part), "no {part} in:\n{errors}");
    }
}

#[test]
fn missing_settings() {
    assert_eq!(pomelopost(&[]).status.code(), Some(2));
    let output = pomelopost(&["--settings", "no/such.ini"]);
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn missing_fleet() {
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
fn shell_completions() {
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
fn demo_completes() {
    let output = pomeloctl(&["demo"]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let text = stdout(&output);
    assert_eq!(text.matches(": complete after").count(), 4, "{text}");
    assert!(
        text.lines()
            .last()
            .unwrap()
            .contains(r#""double_starts":0"#),
        "{text}"
    );
}

#[test]
fn malformed_trace() {
    let path = write_file("bad.jsonl", "# fine\n{\"at_ms\":1,\"dance\":{}}\n");
    let output = pomeloctl(&["replay", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("line 2"), "{}", stderr(&output));
}

#[test]
fn malformed_sheet() {
    let text = "what,name,where,amount\nservice,quote,a,-1\nteam,t1,*,many\n";
    let path = write_file("bad.csv", text);
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
fn sheet_show() {
    let text = "what,name,where,amount\nteam,t1,*,8\nservice,quote,a,24\n";
    let path = write_file("good.csv", text);
    let shown = stdout(&pomeloctl(&["sheet", "show", path.to_str().unwrap()]));
    assert!(shown.contains("service,quote,a,24"), "{shown}");
}

#[test]
fn soak_totals() {
    let args = ["soak", "--seed", "7", "--for", "1ms", "--span", "1s"];
    let output = pomeloctl(&args);
    assert_eq!(output.status.code(), Some(0), "{}", stdout(&output));
    let text = stdout(&output);
    assert!(text.contains("1 traces,"), "{text}");
}
