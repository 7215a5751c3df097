//! Subcommands of `pomeloctl`, one per file, and the command `pomelopost`
//! ([`serve`]).

pub mod completions;
pub mod evacuations;
pub mod experiment;
pub mod faults;
pub mod job;
pub mod load;
pub mod losses;
pub mod man;
pub mod replay;
pub mod serve;
pub mod sheet;
pub mod slopes;
pub mod soak;
pub mod status;
pub mod timeline;

use std::io::{self, Write};

use crate::cli::{Command, Ctl};
use crate::error::CommandError;
use crate::fleet::Fleet;

/// Runs the subcommand.
///
/// # Errors
///
/// Returns the error of the subcommand; [`CommandError::code`] gives its exit
/// code.
pub async fn run(ctl: Ctl) -> Result<(), CommandError> {
    match ctl.command {
        Command::Completions(args) => completions::run(&args),
        Command::Man => man::run(),
        Command::Losses(args) => losses::run(&args),
        Command::Sheet(command) => sheet::run(&ctl.fleet, command).await,
        Command::Demo => replay::demo().await,
        Command::Replay(args) => replay::run(&args).await,
        Command::Soak(args) => soak::run(&args).await,
        Command::Faults(args) => faults::run(&args).await,
        Command::Slopes(args) => slopes::run(args).await,
        Command::Experiment(args) => experiment::run(&args).await,
        Command::Job(command) => job::run(&Fleet::discover(&ctl.fleet).await?, command).await,
        Command::Status(args) => status::run(&Fleet::discover(&ctl.fleet).await?, &args).await,
        Command::Evacuations => evacuations::run(&Fleet::discover(&ctl.fleet).await?).await,
        Command::Timeline(args) => timeline::run(&Fleet::discover(&ctl.fleet).await?, args).await,
        Command::Load(args) => load::run(&Fleet::discover(&ctl.fleet).await?, args).await,
    }
}

/// Writes text to standard output.
fn print(text: &str) -> Result<(), CommandError> {
    let mut out = io::stdout().lock();
    out.write_all(text.as_bytes()).map_err(CommandError::Io)
}
