//! `pomeloctl replay` and `pomeloctl demo`: play a trace on an embedded fleet.

use std::fs;
use std::path::{Path, PathBuf};

use clap::Args;
use replay::{Answer, Report, Submission, Trace, play};

use crate::cmd::print;
use crate::error::CommandError;

/// Trace that the demo plays.
const DEMO: &str = include_str!("demo.jsonl");

/// Arguments of `pomeloctl replay`.
#[derive(Debug, Args)]
pub struct ReplayArgs {
    /// Trace file, as JSON lines.
    trace: PathBuf,
}

/// Runs `pomeloctl replay`; the last line printed is the summary.
///
/// # Errors
///
/// Fails with exit code 2 when the trace is malformed, and with 1 when an
/// invariant was violated or an expectation was not met.
pub async fn run(args: &ReplayArgs) -> Result<(), CommandError> {
    let path = &args.trace;
    let text = fs::read_to_string(path).map_err(|e| CommandError::File(path.clone(), e))?;
    let report = play_text(path, &text).await?;
    print_report(&report)
}

/// Runs `pomeloctl demo`: plays a short trace on an embedded fleet.
///
/// # Errors
///
/// Fails with exit code 1 when an invariant was violated.
pub async fn demo() -> Result<(), CommandError> {
    print(
        "Three failure domains, an entry VM and four minions in each, on loopback.\n\
         A sheet is published, jobs are submitted, and a minion dies.\n\n",
    )?;
    let report = play_text(Path::new("demo"), DEMO).await?;
    for submission in &report.submissions {
        print(&format!("{}\n", describe(submission)))?;
    }
    print("\n")?;
    print_report(&report)
}

fn describe(submission: &Submission) -> String {
    let job = &submission.job;
    let ideal = submission.ideal.as_millis();
    let vms: Vec<_> = submission.attempts.iter().map(|a| a.vm.as_str()).collect();
    let vms = vms.join(", then ");
    let Some((at, answer)) = submission.answer else {
        return format!("job {job} through {vms}: no answer");
    };
    let outcome = match answer {
        Answer::Complete => "complete",
        Answer::Failed => "failed, may have run",
        Answer::NotRun => "failed, not run",
    };
    let response = at.duration_since(submission.at).as_millis();
    format!("job {job} through {vms}: {outcome} after {response} ms, longest task {ideal} ms")
}

async fn play_text(path: &Path, text: &str) -> Result<Report, CommandError> {
    let trace: Trace = text
        .parse()
        .map_err(|e| CommandError::Trace(path.to_path_buf(), e))?;
    play(&trace).await.map_err(CommandError::Launch)
}

fn print_report(report: &Report) -> Result<(), CommandError> {
    for miss in &report.missed {
        print(&format!("missed: {miss}\n"))?;
    }
    for violation in &report.violations {
        print(&format!("missed: {violation}\n"))?;
    }
    print(&format!("{}\n", report.summary))?;
    match report.summary.passed() {
        true => Ok(()),
        false => Err(CommandError::Failed),
    }
}
