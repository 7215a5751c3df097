//! The command lines of both binaries.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

use crate::cmd::completions::CompletionsArgs;
use crate::cmd::experiment::ExperimentArgs;
use crate::cmd::faults::FaultsArgs;
use crate::cmd::job::JobCommand;
use crate::cmd::load::LoadArgs;
use crate::cmd::replay::ReplayArgs;
use crate::cmd::sheet::SheetCommand;
use crate::cmd::slopes::SlopesArgs;
use crate::cmd::soak::SoakArgs;
use crate::cmd::status::StatusArgs;
use crate::cmd::timeline::TimelineArgs;
use crate::fleet::FleetArgs;

/// The exit codes, told at the end of the help.
const EXIT_CODES: &str = "\
Exit codes: 0 good, 2 bad settings or arguments, 1 anything else.";

/// Dispatches sub-second tasks: one entry VM.
#[derive(Debug, Parser)]
#[command(name = "pomelopost", version, after_help = EXIT_CODES)]
pub struct Serve {
    /// The settings file, see docs/pomelopost.ini.
    #[arg(long, value_name = "FILE", required_unless_present_any = ["sample", "platform"])]
    pub settings: Option<PathBuf>,
    /// Only check the settings and tell every fault.
    #[arg(long, requires = "settings")]
    pub check: bool,
    /// Write a commented sample of all settings.
    #[arg(long, conflicts_with = "settings")]
    pub sample: bool,
    /// Serve on the users' platform, by the settings file that the variable
    /// POMELOPOST_NODE_FILE names.
    #[arg(long, conflicts_with_all = ["settings", "sample"])]
    pub platform: bool,
}

/// Operates a pomelopost fleet and runs experiments.
#[derive(Debug, Parser)]
#[command(name = "pomeloctl", version, after_help = EXIT_CODES)]
pub struct Ctl {
    /// Which fleet to speak to.
    #[command(flatten)]
    pub fleet: FleetArgs,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What the operators' tool can do.
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
    /// Tell what happened, merged from the rings of all VMs.
    Timeline(TimelineArgs),
    /// Send an open-loop load and measure responses from their intended start.
    Load(LoadArgs),
    /// Run a short morning on a fleet inside this process.
    Demo,
    /// Play a trace on a fleet inside this process.
    Replay(ReplayArgs),
    /// Play random traces on a fleet inside this process.
    Soak(SoakArgs),
    /// Play random faults on processes of `pomelopost --platform`, from outside.
    Faults(FaultsArgs),
    /// Measure how costs grow with the fleet, see docs/CAPACITY.md.
    Slopes(SlopesArgs),
    /// Compare the policies under load and faults on fleets inside this process.
    Experiment(ExperimentArgs),
    /// Write completions for a shell.
    Completions(CompletionsArgs),
    /// Write the man page.
    Man,
}
