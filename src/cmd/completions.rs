//! `pomeloctl completions`: shell completions.

use clap::{Args, CommandFactory};
use clap_complete::Shell;

use crate::cli::Ctl;
use crate::cmd::print;
use crate::error::CommandError;

/// Arguments of `pomeloctl completions`.
#[derive(Debug, Args)]
pub struct CompletionsArgs {
    /// Shell to write completions for.
    shell: Shell,
}

/// Writes the completions to standard output.
///
/// # Errors
///
/// Fails when standard output can't be written.
pub fn run(args: &CompletionsArgs) -> Result<(), CommandError> {
    let mut out = Vec::new();
    clap_complete::generate(args.shell, &mut Ctl::command(), "pomeloctl", &mut out);
    print(&String::from_utf8_lossy(&out))
}
