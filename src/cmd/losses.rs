//! `pomeloctl losses`: why jobs were not served in time, from the logs of all VMs.

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use clap::Args;
use kernel::Millis;
use losses::{Account, Breakdown, Cause, Finding, LogReader, Losses, Window, find_cause};

use crate::cmd::print;
use crate::error::CommandError;

/// Interval between two messages about the progress.
const PROGRESS_PERIOD: Duration = Duration::from_millis(500);

/// Number of lines between two looks at the clock.
const PROGRESS_LINES: u64 = 4_096;

/// Arguments of `pomeloctl losses`.
#[derive(Debug, Args)]
pub struct LossesArgs {
    /// Log files of the VMs; `-` is standard input. A collector may have put anything
    /// before a line's first brace; the last word there, or the file, names the VM.
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Group the jobs by queue, domain, width, shard or time.
    #[arg(long, default_value = "queue", value_name = "WHAT")]
    by: Breakdown,
    /// Length of the windows of `--by time` and of the report's plots.
    #[arg(long, default_value = "2s", value_name = "SPAN")]
    window: Millis,
    /// Print only what became of this job.
    #[arg(long, value_name = "ID", conflicts_with = "cause")]
    job: Option<String>,
    /// Print the jobs with this cause, one a line.
    #[arg(long)]
    cause: Option<Cause>,
    /// Write an HTML page with tables and plots.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Largest number of jobs to join, which bounds the memory: about 700 bytes each.
    #[arg(long, default_value_t = 2_000_000, value_name = "COUNT")]
    max_jobs: usize,
}

/// Runs `pomeloctl losses`.
///
/// # Errors
///
/// Fails with exit code 2 if a file can't be read, and with 1 if the report can't be
/// written or the job is not known.
pub fn run(args: &LossesArgs) -> Result<(), CommandError> {
    let mut account = Account::new(args.max_jobs);
    for file in &args.files {
        read(file, &mut account)?;
    }
    account.site.sort();
    warn_skipped(&account);
    let window = Window(args.window.0);
    if let Some(path) = &args.report {
        let page = losses::write_report(&account, window).map_err(CommandError::Report)?;
        fs::write(path, page).map_err(|e| CommandError::File(path.clone(), e))?;
    }
    match (&args.job, args.cause) {
        (Some(id), _) => print_job(&account, id),
        (None, Some(cause)) => print_cause(&account, cause),
        (None, None) => print(&Losses::count(&account, args.by, window).to_string()),
    }
}

fn read(path: &Path, account: &mut Account) -> Result<(), CommandError> {
    if path == Path::new("-") {
        return read_lines(io::stdin().lock(), path, account).map_err(CommandError::Io);
    }
    let failed = |e| CommandError::File(path.to_owned(), e);
    let file = File::open(path).map_err(failed)?;
    read_lines(BufReader::with_capacity(1 << 18, file), path, account).map_err(failed)
}

/// Reads all lines, and reports the progress on a terminal.
fn read_lines(input: impl BufRead, path: &Path, account: &mut Account) -> io::Result<()> {
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    let mut reader = LogReader::new(input);
    let mut next = Instant::now() + PROGRESS_PERIOD;
    let mut lines = 0_u64;
    while reader.read(account, &name)? {
        lines += 1;
        if lines.is_multiple_of(PROGRESS_LINES) && Instant::now() >= next {
            next = Instant::now() + PROGRESS_PERIOD;
            show_progress(path, reader.bytes, account);
        }
    }
    Ok(())
}

fn show_progress(path: &Path, bytes: u64, account: &Account) {
    let mut err = io::stderr().lock();
    if err.is_terminal() {
        // A failure to write to the terminal does not concern the result.
        let _ = writeln!(
            err,
            "{}: {} MB, {} jobs",
            path.display(),
            bytes >> 20,
            account.jobs.len()
        );
    }
}

/// Tells on standard error what the tables leave out.
fn warn_skipped(account: &Account) {
    let skipped = account.skipped;
    if skipped.lines > 0 {
        eprintln!("{} lines skipped: no JSON object of a VM", skipped.lines);
    }
    if skipped.dropped > 0 {
        eprintln!("VMs dropped lines {} times", skipped.dropped);
    }
    if skipped.excess > 0 {
        eprintln!(
            "{} lines skipped: more jobs than --max-jobs",
            skipped.excess
        );
    }
}

fn print_job(account: &Account, id: &str) -> Result<(), CommandError> {
    let Some(job) = account.jobs.get(id) else {
        eprintln!("{id}: no line names this job");
        return Err(CommandError::Failed);
    };
    let text = match find_cause(account, job) {
        Finding::Served => "served in time".to_owned(),
        Finding::Open => "not ended when the lines end".to_owned(),
        Finding::Late(cause, why) => format!("late, {cause}: {why}"),
        Finding::NotServed(cause, why) => format!("not served, {cause}: {why}"),
    };
    print(&format!("{id} {text}\n"))
}

fn print_cause(account: &Account, cause: Cause) -> Result<(), CommandError> {
    let mut lines: Vec<_> = account
        .jobs
        .iter()
        .filter_map(|(id, job)| {
            let finding = find_cause(account, job);
            let (_, why) = finding.cause().filter(|(found, _)| *found == cause)?;
            Some(format!("{id} {why}\n"))
        })
        .collect();
    lines.sort();
    print(&lines.concat())
}
