//! `pomeloctl load`: sends an open-loop load to a running fleet.

use clap::Args;
use kernel::Millis;

use crate::cmd::print;
use crate::error::CommandError;
use crate::fleet::Fleet;
use crate::load::{KeySource, Mix, Plan, Report, run as run_load};

/// Arguments of `pomeloctl load`.
#[derive(Debug, Args)]
pub struct LoadArgs {
    /// Average number of jobs per second.
    #[arg(long, default_value_t = 100)]
    rate: u32,
    /// Duration of the load, such as 30s or 5m.
    #[arg(long, default_value = "30s", value_name = "SPAN")]
    duration: Millis,
    /// Mix of jobs, as service:tasks:run[:weight] separated by commas.
    #[arg(long, default_value = "quote:3:200ms")]
    mix: Mix,
    /// Sigma of the log-normal distribution of run times, in percent.
    #[arg(long, default_value_t = 50)]
    spread: u32,
    /// Number of teams that the jobs belong to.
    #[arg(long, default_value_t = 4)]
    teams: u32,
    /// Deadline of each job.
    #[arg(long, default_value = "10s", value_name = "SPAN")]
    deadline: Millis,
    /// Source of the jobs' keys.
    #[arg(long, value_enum, default_value = "ticket")]
    keys: KeySource,
    /// Seed of arrivals, mix and run times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs `pomeloctl load`: prints a progress line to standard error each second,
/// and the report as the last line of standard output.
///
/// # Errors
///
/// Fails when tickets can't be fetched, or when an answer was partial.
pub async fn run(fleet: &Fleet, args: LoadArgs) -> Result<(), CommandError> {
    let plan = Plan {
        rate: args.rate,
        duration: args.duration,
        mix: args.mix,
        spread: args.spread,
        teams: args.teams,
        deadline: args.deadline,
        seed: args.seed,
    };
    let report = run_load(fleet, plan, args.keys, print_progress).await?;
    let line = serde_json::to_string(&report).unwrap_or_default();
    print(&format!("{line}\n"))?;
    match report.partial {
        0 => Ok(()),
        _ => Err(CommandError::Failed),
    }
}

fn print_progress(report: &Report) {
    let ended = report.complete + report.not_run + report.may_have_run + report.unknown;
    eprintln!(
        "{:>5.0}s  {} sent, {} open, {} complete, {} not run, {} may have run, {} unknown, \
         {} unanswered, p50 {:.0} ms, p99 {:.0} ms",
        report.elapsed_s,
        report.jobs,
        report.jobs - ended - report.unanswered,
        report.complete,
        report.not_run,
        report.may_have_run,
        report.unknown,
        report.unanswered,
        report.response_ms.p50,
        report.response_ms.p99,
    );
}
