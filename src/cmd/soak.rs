//! `pomeloctl soak`: plays random traces on embedded fleets, one after the
//! other.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Instant;

use clap::Args;
use kernel::Millis;
use replay::{Action, Report, Submission, Trace, play};

use crate::cmd::print;
use crate::error::CommandError;

/// Arguments of `pomeloctl soak`.
#[derive(Debug, Args)]
pub struct SoakArgs {
    /// Seed of the first trace; each further trace adds 1.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Time during which new traces are started; at least one is played.
    #[arg(long = "for", default_value = "10m", value_name = "SPAN")]
    lasting: Millis,
    /// Length of each trace.
    #[arg(long, default_value = "10s", value_name = "SPAN")]
    span: Millis,
    /// Folder to which a failed trace is written.
    #[arg(long, default_value = ".", value_name = "FOLDER")]
    out: PathBuf,
}

/// Totals over all traces so far.
#[derive(Debug, Default)]
struct Totals {
    /// Number of traces played.
    traces: u64,
    /// Number of jobs in the traces.
    jobs: u64,
    /// Number of jobs whose caller got the complete answer.
    complete: u64,
    /// Number of tasks that minions started.
    starts: u64,
    /// Number of faults by kind.
    faults: BTreeMap<&'static str, u64>,
}

impl Totals {
    fn add(&mut self, trace: &Trace, report: &Report) {
        self.traces += 1;
        self.jobs += report.summary.jobs;
        self.complete += report.summary.complete;
        self.starts += report.summary.task_starts;
        for step in &trace.steps {
            if let Action::Fault(fault, _) = &step.action {
                *self.faults.entry(fault.kind()).or_default() += 1;
            }
        }
    }
}

impl fmt::Display for Totals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} traces, {} jobs, {} complete, {} task starts",
            self.traces, self.jobs, self.complete, self.starts
        )?;
        for (kind, count) in &self.faults {
            writeln!(f, "{kind}: {count}")?;
        }
        Ok(())
    }
}

/// Runs `pomeloctl soak`.
///
/// # Errors
///
/// Fails with exit code 1 at the first trace that violates an invariant; the
/// trace is written to a file.
pub async fn run(args: &SoakArgs) -> Result<(), CommandError> {
    let start_time = Instant::now();
    let mut totals = Totals::default();
    let mut seed = args.seed;
    loop {
        let good = play_seed(args, seed, &mut totals).await?;
        if !good {
            print(&totals.to_string())?;
            return Err(CommandError::Failed);
        }
        if start_time.elapsed() >= args.lasting.duration() {
            return print(&totals.to_string());
        }
        seed = seed.wrapping_add(1);
    }
}

/// Plays the trace of one seed and returns whether it held every invariant.
async fn play_seed(args: &SoakArgs, seed: u64, totals: &mut Totals) -> Result<bool, CommandError> {
    let text = replay::generate(seed, args.span);
    let path = args.out.join(format!("soak-{seed}.jsonl"));
    let trace: Trace = text
        .parse()
        .map_err(|e| CommandError::Trace(path.clone(), e))?;
    let report = play(&trace).await.map_err(CommandError::Launch)?;
    totals.add(&trace, &report);
    print(&format!("seed {seed}: {}\n", report.summary))?;
    if report.summary.passed() {
        return Ok(true);
    }
    write_failed(&path, &text, &report)?;
    Ok(false)
}

fn write_failed(path: &Path, text: &str, report: &Report) -> Result<(), CommandError> {
    for violation in &report.violations {
        print(&format!("missed: {violation}\n"))?;
    }
    for sub in replay::untrue_refusals(&report.submissions, &report.starts) {
        print_job(sub, report)?;
    }
    for sub in replay::cut_offs(&report.submissions, &report.stops) {
        print_job(sub, report)?;
    }
    let broken = report.summary.violations().join(", ");
    print(&format!("broken: {broken}\ntrace: {}\n", path.display()))?;
    if let Some(folder) = path.parent() {
        fs::create_dir_all(folder).map_err(|e| CommandError::File(folder.to_path_buf(), e))?;
    }
    fs::write(path, text).map_err(|e| CommandError::File(path.to_path_buf(), e))
}

/// Prints the answers to every submission of a job and the starts of its tasks,
/// in milliseconds from the given submission.
fn print_job(sub: &Submission, report: &Report) -> Result<(), CommandError> {
    let since = |at: Instant| at.saturating_duration_since(sub.at).as_millis();
    let same_job = |s: &&Submission| s.key == sub.key;
    for other in report.submissions.iter().filter(same_job) {
        for attempt in &other.attempts {
            let ended = attempt.end.as_ref().map(|(at, end)| (since(*at), end));
            let (vm, sent) = (&attempt.vm, since(attempt.sent));
            print(&format!(
                "{}: sent to {vm} at {sent} ms, {ended:?}\n",
                sub.key
            ))?;
        }
    }
    for start in report.starts.iter().filter(|s| s.job == sub.key) {
        let (minion, at) = (&start.minion, since(start.at));
        print(&format!("{}: started on {minion} at {at} ms\n", sub.key))?;
    }
    Ok(())
}
