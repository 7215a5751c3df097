//! `pomeloctl faults`: injects random faults into real VM processes, one run
//! per seed.

use std::fs;
use std::path::PathBuf;

use clap::Args;
use kernel::Millis;
use soak::{Options, Plan, Shape};

use crate::cmd::print;
use crate::error::CommandError;

/// Arguments of `pomeloctl faults`.
#[derive(Debug, Args)]
pub struct FaultsArgs {
    /// Seed of the first run; each further run adds 1.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// Period of each run during which faults are injected.
    #[arg(long, default_value = "12s", value_name = "SPAN")]
    span: Millis,
    /// Number of failure domains.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=8))]
    domain_count: u8,
    /// Number of VM processes, assigned to the domains in turn.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u8).range(1..=100))]
    vm_count: u8,
    /// Number of minions in each domain.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u8).range(1..=100))]
    minion_count: u8,
    /// Program of a VM; by default `pomelopost` in the folder of this program.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Folder for the logs of runs with a violation.
    #[arg(long, default_value = "faults", value_name = "FOLDER")]
    out: PathBuf,
    /// Only print the planned faults of the first run.
    #[arg(long)]
    plan: bool,
    /// Keep the logs of all runs.
    #[arg(long)]
    keep: bool,
}

impl FaultsArgs {
    fn draw(&self, seed: u64) -> Plan {
        let shape = Shape {
            domains: usize::from(self.domain_count),
            vms: usize::from(self.vm_count),
            minions: usize::from(self.minion_count),
        };
        Plan::draw(seed, shape, self.span)
    }

    fn program(&self) -> Result<PathBuf, CommandError> {
        if let Some(program) = &self.program {
            return Ok(program.clone());
        }
        let own = std::env::current_exe().map_err(CommandError::Io)?;
        Ok(own.with_file_name("pomelopost"))
    }
}

/// Runs `pomeloctl faults`.
///
/// # Errors
///
/// Fails with exit code 1 if any run had a violation.
pub async fn run(args: &FaultsArgs) -> Result<(), CommandError> {
    if args.plan {
        let plan = args.draw(args.seed);
        return plan.steps.iter().try_for_each(|s| print(&format!("{s}\n")));
    }
    let program = args.program()?;
    let mut failed_runs = 0;
    for seed in args.seed..args.seed.saturating_add(args.count) {
        let folder = args.out.join(format!("seed-{seed}"));
        let options = Options {
            program: program.clone(),
            folder: folder.clone(),
        };
        let plan = args.draw(seed);
        let report = soak::play(&plan, &options).await;
        let report = report.map_err(CommandError::Soak)?;
        print(&format!("seed {seed}: {report}\n"))?;
        for violation in &report.violations {
            print(&format!("  {violation}\n"))?;
        }
        if !report.violations.is_empty() {
            failed_runs += 1;
        } else if !args.keep {
            fs::remove_dir_all(&folder).map_err(|e| CommandError::File(folder, e))?;
        }
    }
    match failed_runs {
        0 => Ok(()),
        _ => Err(CommandError::Failed),
    }
}
