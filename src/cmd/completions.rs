//! `pomeloctl completions`: completions for a shell.

use clap::{Args, CommandFactory};
use clap_complete::Shell;

use crate::cli::Ctl;
use crate::cmd::print;
use crate::error::CommandError;

/// Which completions to write.
#[derive(Debug, Args)]
pub struct CompletionsArgs {
    /// The shell.
    shell: Shell,
}

/// Writes the completions to standard output.
///
/// # Errors
///
/// Fails when standard output does.
pub fn run(args: &CompletionsArgs) -> Result<(), CommandError> {
    let mut out = Vec::new();
    clap_complete::generate(args.shell, &mut Ctl::command(), "pomeloctl", &mut out);
    print(&String::from_utf8_lossy(&out))
}
