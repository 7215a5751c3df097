//! `pomeloctl replay` and `demo`: traces played on an embedded fleet.

use std::fs;
use std::path::{Path, PathBuf};

use clap::Args;
use replay::{Answer, Report, Submission, Trace, play};

use crate::cmd::print;
use crate::error::CommandError;

/// The trace of the demo.
const DEMO: &str = include_str!("demo.jsonl");

/// Which trace to play.
#[derive(Debug, Args)]
pub struct ReplayArgs {
    /// The trace, JSON lines.
    trace: PathBuf,
}

/// Runs `pomeloctl replay`; the last line is the summary.
///
/// # Errors
///
/// Fails with exit code 2 when the trace is malformed, and with 1 when an
/// invariant broke or an expectation was missed.
pub async fn run(args: &ReplayArgs) -> Result<(), CommandError> {
    let path = &args.trace;
    let text = fs::read_to_string(path).map_err(|e| CommandError::File(path.clone(), e))?;
    let report = play_text(path, &text).await?;
    tell(&report)
}

/// Runs `pomeloctl demo`: a short morning on an embedded fleet.
///
/// # Errors
///
/// Fails with exit code 1 when an invariant broke.
pub async fn demo() -> Result<(), CommandError> {
    print(
        "Three failure domains, an entry VM and four minions in each, on loopback.\n\
         A sheet is published, jobs are submitted, and a minion dies.\n\n",
    )?;
    let report = play_text(Path::new("demo"), DEMO).await?;
    for submission in &report.submissions {
        print(&format!("{}\n", line(submission)))?;
    }
    print("\n")?;
    tell(&report)
}

fn line(submission: &Submission) -> String {
    let job = &submission.job;
    let ideal = submission.ideal.as_millis();
    let vms: Vec<_> = submission.attempts.iter().map(|a| a.vm.as_str()).collect();
    let vms = vms.join(", then ");
    let Some((at, answer)) = submission.answer else {
        return format!("job {job} through {vms}: no answer");
    };
    let told = match answer {
        Answer::Complete => "complete",
        Answer::Failed => "failed, may have run",
        Answer::NotRun => "failed, not run",
    };
    let response = at.duration_since(submission.at).as_millis();
    format!("job {job} through {vms}: {told} after {response} ms, longest task {ideal} ms")
}

async fn play_text(path: &Path, text: &str) -> Result<Report, CommandError> {
    let trace: Trace = text
        .parse()
        .map_err(|e| CommandError::Trace(path.to_path_buf(), e))?;
    play(&trace).await.map_err(CommandError::Launch)
}

fn tell(report: &Report) -> Result<(), CommandError> {
    for miss in &report.missed {
        print(&format!("missed: {miss}\n"))?;
    }
    for violation in &report.violations {
        print(&format!("missed: {violation}\n"))?;
    }
    print(&format!("{}\n", report.summary))?;
    match report.summary.passed() {
        true => Ok(()),
        false => Err(CommandError::Bad),
    }
}
