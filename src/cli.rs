//! Command-line definitions of both binaries.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

use crate::cmd::completions::CompletionsArgs;
use crate::cmd::experiment::ExperimentArgs;
use crate::cmd::faults::FaultsArgs;
use crate::cmd::job::JobCommand;
use crate::cmd::load::LoadArgs;
use crate::cmd::losses::LossesArgs;
use crate::cmd::replay::ReplayArgs;
use crate::cmd::sheet::SheetCommand;
use crate::cmd::slopes::SlopesArgs;
use crate::cmd::soak::SoakArgs;
use crate::cmd::status::StatusArgs;
use crate::cmd::timeline::TimelineArgs;
use crate::fleet::FleetArgs;

/// Exit codes, listed at the end of the help text.
const EXIT_CODES: &str = "\
Exit codes: 0 good, 2 bad settings or arguments, 1 anything else.";

/// Runs one entry VM, which dispatches sub-second tasks to minions.
#[derive(Debug, Parser)]
#[command(name = "pomelopost", version, after_help = EXIT_CODES)]
pub struct Serve {
    /// Settings file; see docs/pomelopost.ini.
    #[arg(long, value_name = "FILE", required_unless_present_any = ["sample", "platform"])]
    pub settings: Option<PathBuf>,
    /// Only check the settings and list every fault.
    #[arg(long, requires = "settings")]
    pub check: bool,
    /// Write a commented sample settings file to standard output.
    #[arg(long, conflicts_with = "settings")]
    pub sample: bool,
    /// Serve on the users' platform, with the settings file named by the
    /// environment variable POMELOPOST_NODE_FILE.
    #[arg(long, conflicts_with_all = ["settings", "sample"])]
    pub platform: bool,
}

/// Operates a pomelopost fleet and runs experiments.
#[derive(Debug, Parser)]
#[command(name = "pomeloctl", version, after_help = EXIT_CODES)]
pub struct Ctl {
    /// Options that select the fleet.
    #[command(flatten)]
    pub fleet: FleetArgs,
    /// Subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands of `pomeloctl`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check, show or publish the planners' sheet.
    #[command(subcommand)]
    Sheet(SheetCommand),
    /// Submit, show or cancel a job.
    #[command(subcommand)]
    Job(JobCommand),
    /// Show the fleet as its VMs see it.
    Status(StatusArgs),
    /// Show which failure domains the VMs on the users' platform evacuate, from the
    /// metrics at the addresses of `--vm`.
    Evacuations,
    /// Show what happened, merged from the event rings of all VMs.
    Timeline(TimelineArgs),
    /// Send an open-loop load and measure each response from the job's intended
    /// start.
    Load(LoadArgs),
    /// Find out from the VMs' logs why jobs were not served in time; see
    /// docs/OPERATIONS.md.
    Losses(LossesArgs),
    /// Play a short demo trace on a fleet inside this process.
    Demo,
    /// Play a trace on a fleet inside this process.
    Replay(ReplayArgs),
    /// Play random traces on a fleet inside this process.
    Soak(SoakArgs),
    /// Inject random faults into processes of `pomelopost --platform` from
    /// outside.
    Faults(FaultsArgs),
    /// Measure how costs grow with the size of the fleet; see docs/CAPACITY.md.
    Slopes(SlopesArgs),
    /// Compare the routing policies under load and faults on fleets inside this
    /// process.
    Experiment(ExperimentArgs),
    /// Write shell completions to standard output.
    Completions(CompletionsArgs),
    /// Write the man pages to standard output.
    Man,
}
