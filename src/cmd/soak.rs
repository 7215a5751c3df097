//! `pomeloctl soak`: random traces on an embedded fleet, one after the other.

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

/// Which random traces to play.
#[derive(Debug, Args)]
pub struct SoakArgs {
    /// The first trace's seed; each further one adds 1.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long to go on starting traces; one is played in any case.
    #[arg(long = "for", default_value = "10m", value_name = "SPAN")]
    lasting: Millis,
    /// The length of each trace.
    #[arg(long, default_value = "10s", value_name = "SPAN")]
    span: Millis,
    /// Where a trace that failed is written.
    #[arg(long, default_value = ".", value_name = "FOLDER")]
    out: PathBuf,
}

/// What all traces so far came to.
#[derive(Debug, Default)]
struct Counts {
    /// The traces played.
    traces: u64,
    /// Their jobs.
    jobs: u64,
    /// The jobs of which a caller got the whole answer.
    complete: u64,
    /// The tasks that minions started.
    starts: u64,
    /// The faults by kind.
    faults: BTreeMap<&'static str, u64>,
}

impl Counts {
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

impl fmt::Display for Counts {
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
/// Fails with exit code 1 at the first trace whose invariants broke, which it
/// writes to a file.
pub async fn run(args: &SoakArgs) -> Result<(), CommandError> {
    let begin = Instant::now();
    let mut counts = Counts::default();
    let mut seed = args.seed;
    loop {
        let good = one(args, seed, &mut counts).await?;
        if !good {
            print(&counts.to_string())?;
            return Err(CommandError::Bad);
        }
        if begin.elapsed() >= args.lasting.duration() {
            return print(&counts.to_string());
        }
        seed = seed.wrapping_add(1);
    }
}

/// Plays one trace and tells whether it was good.
async fn one(args: &SoakArgs, seed: u64, counts: &mut Counts) -> Result<bool, CommandError> {
    let text = replay::generate(seed, args.span);
    let path = args.out.join(format!("soak-{seed}.jsonl"));
    let trace: Trace = text
        .parse()
        .map_err(|e| CommandError::Trace(path.clone(), e))?;
    let report = play(&trace).await.map_err(CommandError::Launch)?;
    counts.add(&trace, &report);
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
        tell_job(sub, report)?;
    }
    for sub in replay::cut_offs(&report.submissions, &report.stops) {
        tell_job(sub, report)?;
    }
    let broken = report.summary.violations().join(", ");
    print(&format!("broken: {broken}\ntrace: {}\n", path.display()))?;
    if let Some(folder) = path.parent() {
        fs::create_dir_all(folder).map_err(|e| CommandError::File(folder.to_path_buf(), e))?;
    }
    fs::write(path, text).map_err(|e| CommandError::File(path.to_path_buf(), e))
}

/// Prints what a caller was told and when its job's tasks started, in
/// milliseconds from its submission.
fn tell_job(sub: &Submission, report: &Report) -> Result<(), CommandError> {
    let since = |at: Instant| at.saturating_duration_since(sub.at).as_millis();
    let same = |s: &&Submission| s.key == sub.key;
    for other in report.submissions.iter().filter(same) {
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
