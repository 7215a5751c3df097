//! `pomeloctl load`: an open-loop load against a running fleet.

use clap::Args;
use kernel::Millis;

use crate::cmd::print;
use crate::error::CommandError;
use crate::fleet::Fleet;
use crate::load::{Keys, Mix, Plan, Report, run as run_load};

/// What load to send.
#[derive(Debug, Args)]
pub struct LoadArgs {
    /// Jobs a second, on average.
    #[arg(long, default_value_t = 100)]
    rate: u32,
    /// For how long, such as 30s or 5m.
    #[arg(long, default_value = "30s", value_name = "SPAN")]
    duration: Millis,
    /// The mix of jobs, service:tasks:run[:weight] with commas between.
    #[arg(long, default_value = "quote:3:200ms")]
    mix: Mix,
    /// The sigma of the log-normal run times, in percent.
    #[arg(long, default_value_t = 50)]
    spread: u32,
    /// How many teams the jobs are of.
    #[arg(long, default_value_t = 4)]
    teams: u32,
    /// Each job's deadline.
    #[arg(long, default_value = "10s", value_name = "SPAN")]
    deadline: Millis,
    /// Where the jobs' keys come from.
    #[arg(long, value_enum, default_value = "ticket")]
    keys: Keys,
    /// Seeds arrivals, mix and run times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs `pomeloctl load`: a progress line a second on standard error, and the
/// report as the last line of standard output.
///
/// # Errors
///
/// Fails when tickets can't be fetched, and when an answer was partial.
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
    let report = run_load(fleet, plan, args.keys, progress).await?;
    let line = serde_json::to_string(&report).unwrap_or_default();
    print(&format!("{line}\n"))?;
    match report.partial {
        0 => Ok(()),
        _ => Err(CommandError::Bad),
    }
}

fn progress(report: &Report) {
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
